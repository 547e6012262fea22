//! The door over loopback.
