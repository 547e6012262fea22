//! An open-loop load generator for callers' requests.
