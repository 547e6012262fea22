//! Membership of daemons and endpoints.
