//! What operators run and ask: the command line and the operators' port.
