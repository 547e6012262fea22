//! Conversion between domain values and the Cap'n Proto structures of messages between daemons.

use std::time::Duration;

use capnp::Result;

use crate::endpoint::{Answer, Call, Error, Token, Usage};
use crate::generated::peer_capnp as schema;
use crate::timeline::Stamp;
use crate::{claim, endpoint, id};

mod remainder;

pub use remainder::{read_remainder, read_remote, write_remainder, write_remote};

/// The step in errors of a forwarded call.
const FORWARD_STEP: &str = "forwarded call";

pub(super) fn nanos(duration: Duration) -> u64 {
    u64::try_from(duration.as_nanos()).unwrap_or(u64::MAX)
}

/// Converts a list length to that of Cap'n Proto.
pub(super) fn list_length(length: usize) -> u32 {
    u32::try_from(length).unwrap_or(u32::MAX)
}

fn read_text(text: capnp::text::Reader<'_>) -> Result<id::Name> {
    Ok(text.to_str()?.into())
}

fn read_optional_text(text: capnp::text::Reader<'_>) -> Result<Option<id::Name>> {
    let text = text.to_str()?;
    Ok((!text.is_empty()).then(|| text.into()))
}

fn read_request_id(data: &[u8]) -> Result<id::Request> {
    id::Request::from_slice(data).map_err(|e| capnp::Error::failed(e.to_string()))
}

/// Writes a stamp.
pub fn write_stamp(stamp: Stamp, mut to: schema::stamp::Builder<'_>) {
    to.set_wall(stamp.wall);
    to.set_counter(stamp.counter);
}

/// Reads a stamp.
pub fn read_stamp(from: schema::stamp::Reader<'_>) -> Stamp {
    Stamp {
        wall: from.get_wall(),
        counter: from.get_counter(),
    }
}

/// Writes tokens.
pub fn write_tokens(
    tokens: &[Token],
    mut to: capnp::struct_list::Builder<'_, schema::token::Owned>,
) {
    for (index, token) in (0..).zip(tokens) {
        let mut builder = to.reborrow().get(index);
        builder.set_index(token.index);
        builder.set_text(&*token.text);
        if let Some(version) = &token.version {
            builder.set_version(&**version);
        }
    }
}

/// Reads tokens.
pub fn read_tokens(
    from: capnp::struct_list::Reader<'_, schema::token::Owned>,
) -> Result<Vec<Token>> {
    let token = |reader: schema::token::Reader<'_>| {
        Ok(Token {
            index: reader.get_index(),
            text: read_text(reader.get_text()?)?,
            version: read_optional_text(reader.get_version()?)?,
        })
    };
    from.iter().map(token).collect()
}

fn write_stage_results(
    results: &[claim::StageResult],
    mut to: capnp::struct_list::Builder<'_, schema::part::Owned>,
) {
    for (index, result) in (0..).zip(results) {
        let mut builder = to.reborrow().get(index);
        builder.set_stage(&*result.stage);
        builder.set_body(&*result.body);
    }
}

fn read_stage_results(
    from: capnp::struct_list::Reader<'_, schema::part::Owned>,
) -> Result<Vec<claim::StageResult>> {
    let result = |reader: schema::part::Reader<'_>| {
        Ok(claim::StageResult {
            stage: read_text(reader.get_stage()?)?,
            body: read_text(reader.get_body()?)?,
        })
    };
    from.iter().map(result).collect()
}

fn write_usage(usage: &Usage, mut to: schema::usage::Builder<'_>) {
    to.set_engine_nanos(nanos(usage.engine_time));
    to.set_prefill_tokens(usage.prefill_tokens);
    to.set_tokens(usage.tokens);
    to.set_link_bytes(usage.link_bytes);
}

fn read_usage(from: schema::usage::Reader<'_>) -> Usage {
    Usage {
        engine_time: Duration::from_nanos(from.get_engine_nanos()),
        prefill_tokens: from.get_prefill_tokens(),
        tokens: from.get_tokens(),
        link_bytes: from.get_link_bytes(),
    }
}

/// Writes a call.
pub fn write_call(call: &Call, mut to: schema::call::Builder<'_>) {
    to.set_request(call.request.as_bytes());
    to.set_workspace(&*call.workspace);
    to.set_pipeline(&*call.pipeline);
    to.set_stage(&*call.stage);
    to.set_attempt(call.attempt);
    to.set_key(call.key.as_deref().unwrap_or_default());
    to.set_remaining_nanos(nanos(call.remaining));
    to.set_priority(call.priority);
    to.set_input(&*call.input);
    to.set_max_tokens(call.max_tokens);
    write_tokens(
        &call.resume,
        to.reborrow().init_resume(list_length(call.resume.len())),
    );
    to.set_version(call.version.as_deref().unwrap_or_default());
}

/// Reads a call.
pub fn read_call(from: schema::call::Reader<'_>) -> Result<Call> {
    Ok(Call {
        request: read_request_id(from.get_request()?)?,
        workspace: read_text(from.get_workspace()?)?,
        pipeline: read_text(from.get_pipeline()?)?,
        stage: read_text(from.get_stage()?)?,
        attempt: from.get_attempt(),
        key: read_optional_text(from.get_key()?)?,
        remaining: Duration::from_nanos(from.get_remaining_nanos()),
        priority: from.get_priority(),
        input: read_text(from.get_input()?)?,
        max_tokens: from.get_max_tokens(),
        resume: read_tokens(from.get_resume()?)?,
        version: read_optional_text(from.get_version()?)?,
    })
}

/// Writes how a forwarded call ended.
pub fn write_result(result: &endpoint::Result<Answer>, to: schema::result::Builder<'_>) {
    match result {
        Ok(answer) => write_answer(answer, to.init_answer()),
        Err(error) => write_failure(error, to.init_failure()),
    }
}

fn write_answer(answer: &Answer, mut to: schema::answer::Builder<'_>) {
    to.set_request(answer.request.as_bytes());
    to.set_stage(&*answer.stage);
    to.set_attempt(answer.attempt);
    to.set_body(&*answer.body);
    write_usage(&answer.usage, to.reborrow().init_usage());
    to.set_version(answer.version.as_deref().unwrap_or_default());
}

fn write_failure(error: &Error, mut to: schema::failure::Builder<'_>) {
    let (fault, peer, reason) = match error {
        Error::NotSent { peer, reason, .. } => (schema::Fault::NotSent, peer, reason.as_str()),
        Error::Refused {
            peer,
            reason,
            leaving,
            ..
        } => {
            let fault = if *leaving {
                schema::Fault::Leaving
            } else {
                schema::Fault::Refused
            };
            (fault, peer, reason.as_str())
        }
        Error::Failed { peer, reason, .. } => (schema::Fault::Failed, peer, reason.as_str()),
        Error::Lost { peer, reason, .. } => (schema::Fault::Lost, peer, reason.as_str()),
        Error::Timeout { peer, limit, .. } => {
            to.set_limit_nanos(nanos(*limit));
            (schema::Fault::Timeout, peer, "")
        }
    };
    to.set_fault(fault);
    to.set_peer(peer.as_str());
    to.set_reason(reason);
}

/// Reads how a forwarded call ended.
pub fn read_result(from: schema::result::Reader<'_>) -> Result<endpoint::Result<Answer>> {
    match from.which()? {
        schema::result::Answer(answer) => read_answer(answer?).map(Ok),
        schema::result::Failure(failure) => read_failure(failure?).map(Err),
    }
}

fn read_answer(from: schema::answer::Reader<'_>) -> Result<Answer> {
    Ok(Answer {
        request: read_request_id(from.get_request()?)?,
        stage: read_text(from.get_stage()?)?,
        attempt: from.get_attempt(),
        body: read_text(from.get_body()?)?,
        usage: read_usage(from.get_usage()?),
        version: read_optional_text(from.get_version()?)?,
    })
}

fn read_failure(from: schema::failure::Reader<'_>) -> Result<Error> {
    let step = FORWARD_STEP;
    let peer = from.get_peer()?.to_string()?;
    let reason = from.get_reason()?.to_string()?;
    Ok(match from.get_fault()? {
        schema::Fault::NotSent => Error::NotSent { step, peer, reason },
        fault @ (schema::Fault::Refused | schema::Fault::Leaving) => Error::Refused {
            step,
            peer,
            reason,
            leaving: fault == schema::Fault::Leaving,
        },
        schema::Fault::Failed => Error::Failed { step, peer, reason },
        schema::Fault::Lost => Error::Lost { step, peer, reason },
        schema::Fault::Timeout => Error::Timeout {
            step,
            peer,
            limit: Duration::from_nanos(from.get_limit_nanos()),
        },
    })
}
