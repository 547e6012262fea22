//! Configuration: fleet-wide defaults and exceptions, folded from the log by every daemon alike.
