//! The demonstration: stand-ins, daemons and callers of both deployments in one process.
