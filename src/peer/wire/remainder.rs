//! Conversion of remainders and their results.

use std::time::Duration;

use capnp::Result;

use super::{
    list_length, nanos, read_optional_text, read_request_id, read_stage_results, read_text,
    read_usage, schema, write_stage_results, write_usage,
};
use crate::pipeline::{Finish, Remainder, Remote};

/// Writes the remainder of a request.
pub fn write_remainder(remainder: &Remainder, mut to: schema::remainder::Builder<'_>) {
    to.set_request(remainder.request.as_bytes());
    to.set_workspace(&*remainder.workspace);
    to.set_pipeline(&*remainder.pipeline);
    to.set_key(remainder.key.as_deref().unwrap_or_default());
    to.set_attempt(remainder.attempt);
    to.set_body(&*remainder.body);
    write_stage_results(
        &remainder.stage_results,
        to.reborrow()
            .init_parts(list_length(remainder.stage_results.len())),
    );
    to.set_remaining_nanos(nanos(remainder.remaining));
    to.set_granted(remainder.granted);
    to.set_stream(remainder.stream);
}

/// Reads the remainder of a request.
pub fn read_remainder(from: schema::remainder::Reader<'_>) -> Result<Remainder> {
    Ok(Remainder {
        request: read_request_id(from.get_request()?)?,
        workspace: read_text(from.get_workspace()?)?,
        pipeline: read_text(from.get_pipeline()?)?,
        key: read_optional_text(from.get_key()?)?,
        attempt: from.get_attempt(),
        body: read_text(from.get_body()?)?,
        stage_results: read_stage_results(from.get_parts()?)?,
        remaining: Duration::from_nanos(from.get_remaining_nanos()),
        granted: from.get_granted(),
        stream: from.get_stream(),
    })
}

/// Writes how a remainder ended.
pub fn write_remote(remote: &Remote, mut to: schema::remote::Builder<'_>) {
    let (verdict, reason, retry_after) = match &remote.finish {
        Finish::Answer(body) => (schema::Verdict::Answer, &**body, None),
        Finish::NotRun {
            reason,
            retry_after,
        } => (schema::Verdict::NotRun, reason.as_str(), *retry_after),
        Finish::Unknown { reason } => (schema::Verdict::Unknown, reason.as_str(), None),
        Finish::Failed {
            reason,
            retry_after,
        } => (schema::Verdict::Failed, reason.as_str(), *retry_after),
        Finish::Conflict => (schema::Verdict::Conflict, "", None),
    };
    to.set_verdict(verdict);
    to.set_reason(reason);
    to.set_has_retry_after(retry_after.is_some());
    to.set_retry_after_nanos(nanos(retry_after.unwrap_or_default()));
    write_stage_results(
        &remote.stage_results,
        to.reborrow()
            .init_parts(list_length(remote.stage_results.len())),
    );
    to.set_doubtful(remote.doubtful);
    write_usage(&remote.usage, to.init_usage());
}

/// Reads how a remainder ended.
pub fn read_remote(from: schema::remote::Reader<'_>) -> Result<Remote> {
    let reason = from.get_reason()?.to_string()?;
    let wait = Duration::from_nanos(from.get_retry_after_nanos());
    let retry_after = from.get_has_retry_after().then_some(wait);
    let finish = match from.get_verdict()? {
        schema::Verdict::Answer => Finish::Answer(reason.into()),
        schema::Verdict::NotRun => Finish::NotRun {
            reason,
            retry_after,
        },
        schema::Verdict::Unknown => Finish::Unknown { reason },
        schema::Verdict::Failed => Finish::Failed {
            reason,
            retry_after,
        },
        schema::Verdict::Conflict => Finish::Conflict,
    };
    Ok(Remote {
        finish,
        stage_results: read_stage_results(from.get_parts()?)?,
        doubtful: from.get_doubtful(),
        usage: read_usage(from.get_usage()?),
    })
}
