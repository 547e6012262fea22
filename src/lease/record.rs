//! Records of the control stream, generated from [the schema](../../schema/control.json).

pub use crate::generated::control::{Acquire, Body, Phase, Plan, Record, Release, Renew};

impl Body {
    /// Returns the name of the lease of the record.
    pub fn lease(&self) -> &str {
        match self {
            Self::Acquire(acquire) => &acquire.lease,
            Self::Renew(renew) => &renew.lease,
            Self::Release(release) => &release.lease,
            Self::Plan(plan) => &plan.lease,
        }
    }
}

/// Creates a record with a new attempt id.
pub fn record(daemon: &str, body: Body) -> Record {
    Record {
        attempt: uuid::Uuid::new_v4().to_string(),
        daemon: daemon.into(),
        body,
    }
}
