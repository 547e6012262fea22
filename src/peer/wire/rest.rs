//! Remainders and how they ended.

use std::time::Duration;

use capnp::Result;

use super::{
    count, name, nanos, read_parts, read_usage, request, schema, some_name, write_parts,
    write_usage,
};
use crate::pipeline::{Finish, Remainder, Remote};

/// Writes the rest of a request.
pub fn write_rest(rest: &Remainder, mut to: schema::remainder::Builder<'_>) {
    to.set_request(rest.request.as_bytes());
    to.set_workspace(&*rest.workspace);
    to.set_pipeline(&*rest.pipeline);
    to.set_key(rest.key.as_deref().unwrap_or_default());
    to.set_attempt(rest.attempt);
    to.set_body(&*rest.body);
    write_parts(
        &rest.stage_results,
        to.reborrow().init_parts(count(rest.stage_results.len())),
    );
    to.set_remaining_nanos(nanos(rest.remaining));
    to.set_granted(rest.granted);
    to.set_stream(rest.stream);
}

/// Reads the rest of a request.
pub fn read_rest(from: schema::remainder::Reader<'_>) -> Result<Remainder> {
    Ok(Remainder {
        request: request(from.get_request()?)?,
        workspace: name(from.get_workspace()?)?,
        pipeline: name(from.get_pipeline()?)?,
        key: some_name(from.get_key()?)?,
        attempt: from.get_attempt(),
        body: name(from.get_body()?)?,
        stage_results: read_parts(from.get_parts()?)?,
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
    write_parts(
        &remote.stage_results,
        to.reborrow().init_parts(count(remote.stage_results.len())),
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
        stage_results: read_parts(from.get_parts()?)?,
        doubtful: from.get_doubtful(),
        usage: read_usage(from.get_usage()?),
    })
}
