//! Routing: the choice of an endpoint for a stage.
