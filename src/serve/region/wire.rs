//! Messages between a region's daemons: the planner's values as Cap'n Proto structures and back.

use std::net::SocketAddr;
use std::time::Duration;

use capnp::Result;
use indexmap::IndexMap;

use crate::clock::Time;
use crate::generated::plan_capnp as schema;
use crate::id;
use crate::serve::health::Verdict;
use crate::serve::plan::{
    CachedPart, Grant, Job, PromptPart, Refusal, Stage, Tokens, TransferredResult,
};
use crate::serve::progress::{Topic, Watermark};

fn nanos(duration: Duration) -> u64 {
    u64::try_from(duration.as_nanos()).unwrap_or(u64::MAX)
}

fn to_u32(length: usize) -> u32 {
    u32::try_from(length).unwrap_or(u32::MAX)
}

/// Indexes of stages and numbers of pieces are far below the bound of the wire.
fn to_u16(number: usize) -> u16 {
    u16::try_from(number).unwrap_or(u16::MAX)
}

fn read_name(text: capnp::text::Reader<'_>) -> Result<id::Name> {
    Ok(text.to_str()?.into())
}

fn read_address(text: capnp::text::Reader<'_>) -> Result<SocketAddr> {
    let parsed = text.to_str()?.parse();
    parsed.map_err(|_| capnp::Error::failed("an address that cannot be read".into()))
}

/// Writes a job; its times become durations from now.
pub fn write_job(job: &Job, now: Time, mut to: schema::job::Builder<'_>) {
    to.set_request(&*job.request);
    to.set_key(&*job.piece_key);
    to.set_service(&*job.service);
    to.set_priority(job.priority);
    to.set_target_nanos(nanos(job.target.saturating_sub(now)));
    to.set_end_nanos(nanos(job.deadline.saturating_sub(now)));
    to.set_prompt_tokens(job.tokens.prompt);
    to.set_output_tokens(job.tokens.output);
    to.set_zone(&*job.zone);
    to.set_span_nanos(nanos(job.target_latency));
    to.set_weight(job.weight);
    to.set_digest(&*job.digest);
    write_transferred(
        &job.transferred_results,
        now,
        to.reborrow()
            .init_made(to_u32(job.transferred_results.len())),
    );
    let mut needs = to.reborrow().init_needs(to_u32(job.stages.len()));
    for (index, need) in (0..).zip(&job.stages) {
        let mut one = needs.reborrow().get(index);
        one.set_service(&*need.service);
        one.set_bytes(need.bytes);
        one.set_pieces(to_u16(need.pieces));
        let mut after = one.init_after(to_u32(need.after.len()));
        for (index, stage) in (0..).zip(&need.after) {
            after.set(index, to_u16(*stage));
        }
    }
    let mut parts = to.init_parts(to_u32(job.prompt_parts.len()));
    for (index, part) in (0..).zip(&job.prompt_parts) {
        let mut one = parts.reborrow().get(index);
        one.set_id(&*part.id);
        one.set_tokens(part.tokens);
    }
}

fn read_stage(from: schema::need::Reader<'_>) -> Result<Stage> {
    Ok(Stage {
        service: read_name(from.get_service()?)?,
        after: from.get_after()?.iter().map(usize::from).collect(),
        bytes: from.get_bytes(),
        pieces: from.get_pieces().into(),
    })
}

fn read_prompt_part(from: schema::part::Reader<'_>) -> Result<PromptPart> {
    Ok(PromptPart {
        id: read_name(from.get_id()?)?,
        tokens: from.get_tokens(),
    })
}

/// Reads a job; its durations become times of this daemon.
pub fn read_job(from: schema::job::Reader<'_>, now: Time) -> Result<Job> {
    let needs = from.get_needs()?.iter().map(read_stage);
    let needs: Vec<Stage> = needs.collect::<Result<_>>()?;
    let known = needs.iter().flat_map(|need| &need.after);
    if known.into_iter().any(|stage| *stage >= needs.len()) {
        return Err(capnp::Error::failed(
            "a stage comes after one that is not there".into(),
        ));
    }
    let parts = from.get_parts()?.iter().map(read_prompt_part);
    Ok(Job {
        request: read_name(from.get_request()?)?,
        piece_key: read_name(from.get_key()?)?,
        stages: needs,
        service: read_name(from.get_service()?)?,
        priority: from.get_priority(),
        target: now + Duration::from_nanos(from.get_target_nanos()),
        deadline: now + Duration::from_nanos(from.get_end_nanos()),
        prompt_parts: parts.collect::<Result<_>>()?,
        tokens: Tokens {
            prompt: from.get_prompt_tokens(),
            output: from.get_output_tokens(),
        },
        zone: read_name(from.get_zone()?)?,
        target_latency: Duration::from_nanos(from.get_span_nanos()),
        weight: from.get_weight(),
        digest: read_name(from.get_digest()?)?,
        transferred_results: read_transferred(from.get_made()?, now)?,
    })
}

fn write_transferred(
    made: &[TransferredResult],
    now: Time,
    mut to: capnp::struct_list::Builder<'_, schema::made::Owned>,
) {
    for (index, given) in (0..).zip(made) {
        let mut one = to.reborrow().get(index);
        one.set_stage(to_u16(given.stage));
        one.set_piece(to_u16(given.piece));
        one.set_handle(&*given.handle);
        one.set_endpoint(&*given.endpoint);
        one.set_zone(&*given.zone);
        one.set_bytes(given.bytes);
        one.set_left_nanos(nanos(given.expires_at.saturating_sub(now)));
    }
}

fn read_transferred(
    from: capnp::struct_list::Reader<'_, schema::made::Owned>,
    now: Time,
) -> Result<Vec<TransferredResult>> {
    let given = |one: schema::made::Reader<'_>| {
        Ok(TransferredResult {
            stage: one.get_stage().into(),
            piece: one.get_piece().into(),
            handle: read_name(one.get_handle()?)?,
            endpoint: read_name(one.get_endpoint()?)?,
            zone: read_name(one.get_zone()?)?,
            bytes: one.get_bytes(),
            expires_at: now + Duration::from_nanos(one.get_left_nanos()),
        })
    };
    from.iter().map(given).collect()
}

/// Writes what was sent to engines, by engine.
pub fn write_sent_parts(
    uses: &IndexMap<id::Endpoint, Vec<(id::Name, Duration)>>,
    mut to: capnp::struct_list::Builder<'_, schema::use_::Owned>,
) {
    for (index, (endpoint, parts)) in (0..).zip(uses) {
        let mut one = to.reborrow().get(index);
        one.set_endpoint(&**endpoint);
        let mut sent = one.init_sent(to_u32(parts.len()));
        for (index, (part, age)) in (0..).zip(parts) {
            let mut one = sent.reborrow().get(index);
            one.set_part(&**part);
            one.set_age_nanos(nanos(*age));
        }
    }
}

/// Reads what was sent to engines.
pub fn read_sent_parts(
    from: capnp::struct_list::Reader<'_, schema::use_::Owned>,
    now: Time,
) -> Result<Vec<CachedPart>> {
    let mut uses = Vec::new();
    for one in from {
        let endpoint = read_name(one.get_endpoint()?)?;
        for sent in one.get_sent()? {
            uses.push(CachedPart {
                endpoint: endpoint.clone(),
                part: read_name(sent.get_part()?)?,
                sent_at: now.saturating_sub(Duration::from_nanos(sent.get_age_nanos())),
            });
        }
    }
    Ok(uses)
}

/// Writes how a request was planned.
pub fn write_reply(
    reply: &std::result::Result<Grant, Refusal>,
    now: Time,
    to: schema::reply::Builder<'_>,
) {
    match reply {
        Ok(grant) => {
            let mut one = to.init_grant();
            one.set_endpoint(&*grant.endpoint);
            one.set_address(grant.address.to_string());
            let mut inputs = one.init_inputs(to_u32(grant.inputs.len()));
            for (index, handle) in (0..).zip(&grant.inputs) {
                inputs.set(index, &**handle);
            }
        }
        Err(refusal) => {
            let mut one = to.init_refusal();
            one.set_reason(&*refusal.reason);
            one.set_wait_nanos(nanos(refusal.retry_after));
            one.set_is_moved(refusal.is_transferred);
            let length = to_u32(refusal.transferred_results.len());
            write_transferred(&refusal.transferred_results, now, one.init_made(length));
        }
    }
}

/// Reads how a request was planned.
pub fn read_reply(
    from: schema::reply::Reader<'_>,
    now: Time,
) -> Result<std::result::Result<Grant, Refusal>> {
    use schema::reply::Which;
    match from.which()? {
        Which::Grant(grant) => {
            let grant = grant?;
            let inputs = grant.get_inputs()?.iter().map(|handle| read_name(handle?));
            Ok(Ok(Grant {
                endpoint: read_name(grant.get_endpoint()?)?,
                address: read_address(grant.get_address()?)?,
                inputs: inputs.collect::<Result<_>>()?,
            }))
        }
        Which::Refusal(refusal) => {
            let refusal = refusal?;
            Ok(Err(Refusal {
                reason: refusal.get_reason()?.to_str()?.to_owned().into(),
                retry_after: Duration::from_nanos(refusal.get_wait_nanos()),
                is_transferred: refusal.get_is_moved(),
                transferred_results: read_transferred(refusal.get_made()?, now)?,
            }))
        }
    }
}

/// Returns the verdict as the schema has it.
pub fn write_verdict(verdict: Verdict) -> schema::Verdict {
    match verdict {
        Verdict::Good => schema::Verdict::Good,
        Verdict::Bad => schema::Verdict::Bad,
        Verdict::Refused => schema::Verdict::Refused,
        Verdict::Lost => schema::Verdict::Lost,
        Verdict::Crashed => schema::Verdict::Crashed,
        Verdict::Unknown => schema::Verdict::Unknown,
    }
}

/// Returns the verdict that the schema names.
pub fn read_verdict(verdict: schema::Verdict) -> Verdict {
    match verdict {
        schema::Verdict::Good => Verdict::Good,
        schema::Verdict::Bad => Verdict::Bad,
        schema::Verdict::Refused => Verdict::Refused,
        schema::Verdict::Lost => Verdict::Lost,
        schema::Verdict::Crashed => Verdict::Crashed,
        schema::Verdict::Unknown => Verdict::Unknown,
    }
}

/// Returns the topic as the schema has it.
pub fn write_topic(topic: Topic) -> schema::Topic {
    match topic {
        Topic::Catalog => schema::Topic::Catalog,
        Topic::Endpoints => schema::Topic::Endpoints,
    }
}

/// Returns the topic that the schema names.
pub fn read_topic(topic: schema::Topic) -> Topic {
    match topic {
        schema::Topic::Catalog => Topic::Catalog,
        schema::Topic::Endpoints => Topic::Endpoints,
    }
}

/// Writes how far topics of the store are known, each with its age.
pub fn write_watermarks(
    marks: &[(Topic, u64, Duration)],
    mut to: capnp::struct_list::Builder<'_, schema::mark::Owned>,
) {
    for (index, (topic, change, age)) in (0..).zip(marks) {
        let mut one = to.reborrow().get(index);
        one.set_topic(write_topic(*topic));
        one.set_change(*change);
        one.set_age_nanos(nanos(*age));
    }
}

/// Reads how far topics are known at a daemon that was asked at `asked`.
pub fn read_watermarks(
    from: capnp::struct_list::Reader<'_, schema::mark::Owned>,
    asked: Time,
) -> Result<Vec<(Topic, Watermark)>> {
    let mark = |one: schema::mark::Reader<'_>| {
        let topic = read_topic(one.get_topic()?);
        // The age was taken after the question was sent, so the time is not too late.
        let at = asked.saturating_sub(Duration::from_nanos(one.get_age_nanos()));
        let change = one.get_change();
        Ok((
            topic,
            Watermark {
                offset: change,
                as_of: at,
            },
        ))
    };
    from.iter().map(mark).collect()
}
