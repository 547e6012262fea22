//! Failures as `application/problem+json`, with a verdict on whether the request ran.

use std::time::Duration;

use hyper::StatusCode;

use crate::id;
use crate::pipeline::Finish;

token! {
    /// What a caller may conclude about its request.
    pub enum Verdict {
        /// Nothing ran; it is safe to send it again.
        NotRun,
        /// It may have run; a retry with the same key does not run it again.
        Unknown,
        /// It ran and failed.
        Failed,
    }
}

value! {
    /// The body of a failure, as defined by RFC 9457.
    pub struct Problem {
        /// What kind of problem it is, as a relative URI.
        pub r#type: &'static str,
        /// The HTTP status.
        pub status: u16,
        /// What went wrong, in words for people.
        pub detail: String,
        /// The request.
        pub request: id::Request,
        /// Whether the request ran.
        pub verdict: Verdict,
        /// Milliseconds after which to retry.
        pub retry_after_ms: Option<u64>,
    }
}

impl Problem {
    /// Makes the problem of a request that was rejected before anything ran.
    pub fn rejection(
        request: id::Request,
        status: StatusCode,
        kind: &'static str,
        detail: impl Into<String>,
    ) -> Self {
        Self {
            r#type: kind,
            status: status.as_u16(),
            detail: detail.into(),
            request,
            verdict: Verdict::NotRun,
            retry_after_ms: None,
        }
    }

    /// Returns the JSON text.
    pub fn text(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }

    /// Returns the value of the `Retry-After` header, in seconds.
    pub fn retry_after(&self) -> Option<u64> {
        self.retry_after_ms.map(|ms| ms.div_ceil(1000))
    }
}

/// Makes the problem of a request that ended without an answer.
pub fn from_finish(request: id::Request, finish: &Finish) -> Problem {
    let (status, kind, verdict, detail) = match finish {
        Finish::NotRun { reason, .. } => (
            StatusCode::SERVICE_UNAVAILABLE,
            "not-run",
            Verdict::NotRun,
            reason.as_str(),
        ),
        Finish::Unknown { reason } => (
            StatusCode::GATEWAY_TIMEOUT,
            "unknown",
            Verdict::Unknown,
            reason.as_str(),
        ),
        Finish::Failed { reason, .. } => (
            StatusCode::BAD_GATEWAY,
            "failed",
            Verdict::Failed,
            reason.as_str(),
        ),
        Finish::Conflict => (
            StatusCode::CONFLICT,
            "key-conflict",
            Verdict::NotRun,
            "the idempotency key was used with another body; this one did not run",
        ),
        Finish::Answer(_) => (StatusCode::OK, "about:blank", Verdict::Failed, ""),
    };
    Problem {
        r#type: kind,
        status: status.as_u16(),
        detail: detail.to_owned(),
        request,
        verdict,
        retry_after_ms: retry_after_ms(finish),
    }
}

fn retry_after_ms(finish: &Finish) -> Option<u64> {
    match finish {
        Finish::NotRun { retry_after, .. } | Finish::Failed { retry_after, .. } => {
            retry_after.map(millis)
        }
        _ => None,
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
