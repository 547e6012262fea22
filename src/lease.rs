//! Leases: agreed through the log, with the offset of the acquiring record as fencing token.
