//! Messages between planners: converts their values to Cap'n Proto structures and back.

use std::net::SocketAddr;
use std::time::Duration;

use capnp::Result;
use indexmap::IndexMap;

use crate::clock::Time;
use crate::generated::plan_capnp as schema;
use crate::id;
use crate::quarantine::evidence::{self, Life, Subject};
use crate::serve::budget::Arrivals;
use crate::serve::closure::Closure;
use crate::serve::health::Verdict;
use crate::serve::origin::{self, Origin};
use crate::serve::pace::Ratio;
use crate::serve::plan::{
    CachedPart, Grant, Job, PromptPart, Refusal, Stage, Tokens, TransferredResult,
};
use crate::serve::progress::{MAX_WATERMARK_AGE, Position, Record, Topic, Watermark};
use crate::serve::rate::{Rate, Report};
use crate::serve::residency::Residency;

fn nanos(duration: Duration) -> u64 {
    u64::try_from(duration.as_nanos()).unwrap_or(u64::MAX)
}

fn to_u32(length: usize) -> u32 {
    u32::try_from(length).unwrap_or(u32::MAX)
}

/// Converts a stage index or a number of pieces, which are far below the limit.
fn to_u16(number: usize) -> u16 {
    u16::try_from(number).unwrap_or(u16::MAX)
}

fn read_name(text: capnp::text::Reader<'_>) -> Result<id::Name> {
    Ok(text.to_str()?.into())
}

fn read_address(text: capnp::text::Reader<'_>) -> Result<SocketAddr> {
    let parsed = text.to_str()?.parse();
    parsed.map_err(|_| capnp::Error::failed("invalid address".into()))
}

/// Reads an address; an empty one is none.
fn read_optional_address(text: capnp::text::Reader<'_>) -> Result<Option<SocketAddr>> {
    if text.is_empty() {
        return Ok(None);
    }
    read_address(text).map(Some)
}

/// Reads a software version; an empty one is none, as daemons of earlier versions send.
pub fn read_release(text: capnp::text::Reader<'_>) -> Result<Option<id::Release>> {
    Ok(Some(read_name(text)?).filter(|release| !release.is_empty()))
}

/// Writes a job; its times become durations from `now`.
pub fn write_job(job: &Job, now: Time, mut builder: schema::job::Builder<'_>) {
    builder.set_request(&*job.request);
    builder.set_key(&*job.piece_key);
    builder.set_service(&*job.service);
    builder.set_priority(job.priority);
    builder.set_target_nanos(nanos(job.target.saturating_sub(now)));
    builder.set_end_nanos(nanos(job.deadline.saturating_sub(now)));
    builder.set_prompt_tokens(job.tokens.prompt);
    builder.set_output_tokens(job.tokens.output);
    builder.set_zone(&*job.zone);
    builder.set_span_nanos(nanos(job.target_latency));
    builder.set_weight(job.weight);
    builder.set_digest(&*job.digest);
    builder.set_release(job.release.as_deref().unwrap_or_default());
    let closures = builder.reborrow().init_closures(to_u32(job.closures.len()));
    write_closures(&job.closures, closures);
    write_transferred(
        &job.transferred_results,
        now,
        builder
            .reborrow()
            .init_made(to_u32(job.transferred_results.len())),
    );
    let mut stages = builder.reborrow().init_needs(to_u32(job.stages.len()));
    for (index, stage) in (0..).zip(&job.stages) {
        let mut entry = stages.reborrow().get(index);
        entry.set_service(&*stage.service);
        entry.set_bytes(stage.bytes);
        entry.set_pieces(to_u16(stage.pieces));
        let mut after = entry.init_after(to_u32(stage.after.len()));
        for (index, stage) in (0..).zip(&stage.after) {
            after.set(index, to_u16(*stage));
        }
    }
    let mut regions: Vec<&str> = job.residency.regions().map(|region| &**region).collect();
    if job.residency.is_limited() && regions.is_empty() {
        // An empty list allows all regions, and no region has this name.
        regions.push("");
    }
    let mut allowed = builder
        .reborrow()
        .init_allowed_regions(to_u32(regions.len()));
    for (index, region) in (0..).zip(regions) {
        allowed.set(index, region);
    }
    let mut parts = builder.init_parts(to_u32(job.prompt_parts.len()));
    for (index, part) in (0..).zip(&job.prompt_parts) {
        let mut entry = parts.reborrow().get(index);
        entry.set_id(&*part.id);
        entry.set_tokens(part.tokens);
    }
}

/// Reads the regions in which a job may be; daemons of earlier versions send none, which is all.
pub fn read_allowed_regions(reader: schema::job::Reader<'_>) -> Result<Vec<id::Region>> {
    let regions = reader.get_allowed_regions()?.iter();
    regions.map(|region| read_name(region?)).collect()
}

fn write_closures(
    closures: &[Closure],
    mut builder: capnp::struct_list::Builder<'_, schema::closure::Owned>,
) {
    for (index, closure) in (0..).zip(closures) {
        let mut entry = builder.reborrow().get(index);
        entry.set_endpoint(&*closure.endpoint);
        entry.set_is_leaving(closure.remaining.is_none());
        entry.set_left_nanos(nanos(closure.remaining.unwrap_or_default()));
    }
}

fn read_closures(
    reader: capnp::struct_list::Reader<'_, schema::closure::Owned>,
) -> Result<Vec<Closure>> {
    let closure = |entry: schema::closure::Reader<'_>| {
        let remaining = Duration::from_nanos(entry.get_left_nanos());
        Ok(Closure {
            endpoint: read_name(entry.get_endpoint()?)?,
            remaining: (!entry.get_is_leaving()).then_some(remaining),
        })
    };
    reader.iter().map(closure).collect()
}

fn read_stage(reader: schema::need::Reader<'_>) -> Result<Stage> {
    Ok(Stage {
        service: read_name(reader.get_service()?)?,
        after: reader.get_after()?.iter().map(usize::from).collect(),
        bytes: reader.get_bytes(),
        pieces: reader.get_pieces().into(),
    })
}

fn read_prompt_part(reader: schema::part::Reader<'_>) -> Result<PromptPart> {
    Ok(PromptPart {
        id: read_name(reader.get_id()?)?,
        tokens: read_tokens(reader.get_tokens()),
    })
}

/// Reads a number of tokens. Daemons of earlier versions pass on whatever their clients send; sums of numbers below this
/// bound do not overflow.
fn read_tokens(tokens: u64) -> u64 {
    tokens.min(u32::MAX.into())
}

/// Reads the weight of a job, which daemons of earlier versions derive from any numbers of their clients.
fn read_weight(weight: f32) -> f32 {
    if weight.is_finite() { weight } else { 1.0 }
}

/// Reads a job; its durations from `now` become times of this daemon's clock.
pub fn read_job(reader: schema::job::Reader<'_>, now: Time) -> Result<Job> {
    let stages = reader.get_needs()?.iter().map(read_stage);
    let stages: Vec<Stage> = stages.collect::<Result<_>>()?;
    let predecessors = stages.iter().flat_map(|stage| &stage.after);
    if predecessors.into_iter().any(|stage| *stage >= stages.len()) {
        return Err(capnp::Error::failed(
            "a stage depends on one that does not exist".into(),
        ));
    }
    let parts = reader.get_parts()?.iter().map(read_prompt_part);
    Ok(Job {
        request: read_name(reader.get_request()?)?,
        piece_key: read_name(reader.get_key()?)?,
        stages,
        service: read_name(reader.get_service()?)?,
        priority: reader.get_priority(),
        target: now + Duration::from_nanos(reader.get_target_nanos()),
        deadline: now + Duration::from_nanos(reader.get_end_nanos()),
        prompt_parts: parts.collect::<Result<_>>()?,
        tokens: Tokens {
            prompt: read_tokens(reader.get_prompt_tokens()),
            output: read_tokens(reader.get_output_tokens()),
        },
        zone: read_name(reader.get_zone()?)?,
        target_latency: Duration::from_nanos(reader.get_span_nanos()),
        weight: read_weight(reader.get_weight()),
        digest: read_name(reader.get_digest()?)?,
        transferred_results: read_transferred(reader.get_made()?, now)?,
        release: read_release(reader.get_release()?)?,
        closures: read_closures(reader.get_closures()?)?,
        // Only the host knows the zones of regions.
        residency: Residency::default(),
    })
}

fn write_transferred(
    results: &[TransferredResult],
    now: Time,
    mut builder: capnp::struct_list::Builder<'_, schema::made::Owned>,
) {
    for (index, result) in (0..).zip(results) {
        let mut entry = builder.reborrow().get(index);
        entry.set_stage(to_u16(result.stage));
        entry.set_piece(to_u16(result.piece));
        entry.set_handle(&*result.handle);
        entry.set_endpoint(&*result.endpoint);
        entry.set_zone(&*result.zone);
        entry.set_bytes(result.bytes);
        entry.set_left_nanos(nanos(result.expires_at.saturating_sub(now)));
    }
}

fn read_transferred(
    reader: capnp::struct_list::Reader<'_, schema::made::Owned>,
    now: Time,
) -> Result<Vec<TransferredResult>> {
    let result = |entry: schema::made::Reader<'_>| {
        Ok(TransferredResult {
            stage: entry.get_stage().into(),
            piece: entry.get_piece().into(),
            handle: read_name(entry.get_handle()?)?,
            endpoint: read_name(entry.get_endpoint()?)?,
            zone: read_name(entry.get_zone()?)?,
            bytes: entry.get_bytes(),
            expires_at: now + Duration::from_nanos(entry.get_left_nanos()),
        })
    };
    reader.iter().map(result).collect()
}

/// Writes the prompt parts that were sent to engines, by engine.
pub fn write_sent_parts(
    parts: &IndexMap<id::Endpoint, Vec<(id::Name, Duration)>>,
    mut builder: capnp::struct_list::Builder<'_, schema::use_::Owned>,
) {
    for (index, (endpoint, parts)) in (0..).zip(parts) {
        let mut entry = builder.reborrow().get(index);
        entry.set_endpoint(&**endpoint);
        let mut sent = entry.init_sent(to_u32(parts.len()));
        for (index, (part, age)) in (0..).zip(parts) {
            let mut entry = sent.reborrow().get(index);
            entry.set_part(&**part);
            entry.set_age_nanos(nanos(*age));
        }
    }
}

/// Reads the prompt parts that were sent to engines.
pub fn read_sent_parts(
    reader: capnp::struct_list::Reader<'_, schema::use_::Owned>,
    now: Time,
) -> Result<Vec<CachedPart>> {
    let mut cached_parts = Vec::new();
    for entry in reader {
        let endpoint = read_name(entry.get_endpoint()?)?;
        for sent in entry.get_sent()? {
            cached_parts.push(CachedPart {
                endpoint: endpoint.clone(),
                part: read_name(sent.get_part()?)?,
                sent_at: now.saturating_sub(Duration::from_nanos(sent.get_age_nanos())),
            });
        }
    }
    Ok(cached_parts)
}

/// Converts a limit to the schema's, where a negative one is none.
pub fn write_limit(limit: Option<Rate>) -> f64 {
    limit.unwrap_or(-1.0)
}

/// Converts a limit from the schema's.
pub fn read_limit(limit: f64) -> Option<Rate> {
    (limit >= 0.0).then_some(limit)
}

/// Converts a pace to the schema's percentage, where 0 is none.
pub fn write_pace(pace: Option<Ratio>) -> u16 {
    let percent = pace.map(|ratio| (ratio * 100.0).round().clamp(1.0, f64::from(u16::MAX)));
    percent.map_or(0, |percent| percent as u16)
}

/// Converts a pace from the schema's percentage.
pub fn read_pace(percent: u16) -> Option<Ratio> {
    (percent > 0).then(|| f64::from(percent) / 100.0)
}

/// Writes the limits that a daemon has heard of.
pub fn write_limits(
    reports: &[Report],
    mut builder: capnp::struct_list::Builder<'_, schema::limit::Owned>,
) {
    for (index, report) in (0..).zip(reports) {
        let mut entry = builder.reborrow().get(index);
        entry.set_endpoint(&*report.endpoint);
        entry.set_limit(write_limit(report.limit));
        entry.set_age_nanos(nanos(report.age));
    }
}

/// Reads the limits that a daemon has heard of.
pub fn read_limits(
    reader: capnp::struct_list::Reader<'_, schema::limit::Owned>,
) -> Result<Vec<Report>> {
    let report = |entry: schema::limit::Reader<'_>| {
        Ok(Report {
            endpoint: read_name(entry.get_endpoint()?)?,
            limit: read_limit(entry.get_limit()),
            age: Duration::from_nanos(entry.get_age_nanos()),
        })
    };
    reader.iter().map(report).collect()
}

/// Writes the requests that came to a daemon, by service.
pub fn write_arrivals(
    arrivals: &[Arrivals],
    mut builder: capnp::struct_list::Builder<'_, schema::arrivals::Owned>,
) {
    for (index, Arrivals { service, count }) in (0..).zip(arrivals) {
        let mut entry = builder.reborrow().get(index);
        entry.set_service(&**service);
        entry.set_count(*count);
    }
}

/// Reads the requests that came to a daemon, by service.
pub fn read_arrivals(
    reader: capnp::struct_list::Reader<'_, schema::arrivals::Owned>,
) -> Result<Vec<Arrivals>> {
    let arrivals = |entry: schema::arrivals::Reader<'_>| {
        Ok(Arrivals {
            service: read_name(entry.get_service()?)?,
            count: entry.get_count(),
        })
    };
    reader.iter().map(arrivals).collect()
}

/// Writes what began streams.
pub fn write_origins(
    records: &[(origin::Record, Duration)],
    mut builder: capnp::struct_list::Builder<'_, schema::origin::Owned>,
) {
    for (index, (record, age)) in (0..).zip(records) {
        let mut entry = builder.reborrow().get(index);
        entry.set_attempt(&*record.attempt);
        entry.set_service(&*record.origin.service);
        entry.set_release(&*record.origin.release);
        entry.set_age_nanos(nanos(*age));
    }
}

/// Reads what began streams.
pub fn read_origins(
    reader: capnp::struct_list::Reader<'_, schema::origin::Owned>,
) -> Result<Vec<(origin::Record, Duration)>> {
    let record = |entry: schema::origin::Reader<'_>| {
        let origin = Origin {
            service: read_name(entry.get_service()?)?,
            release: read_name(entry.get_release()?)?,
        };
        let attempt = read_name(entry.get_attempt()?)?;
        let age = Duration::from_nanos(entry.get_age_nanos());
        Ok((origin::Record { attempt, origin }, age))
    };
    reader.iter().map(record).collect()
}

/// Writes what is refused, or may be, since endpoints ended under it.
pub fn write_refused(
    records: &[evidence::Record],
    mut builder: capnp::struct_list::Builder<'_, schema::refused::Owned>,
) {
    for (index, record) in (0..).zip(records) {
        let mut entry = builder.reborrow().get(index);
        match &record.subject {
            Subject::Content(digest) => entry.set_content(&**digest),
            Subject::Part(part) => entry.set_part(&**part),
        }
        entry.set_depth(to_u16(record.depth));
        entry.set_is_open(!record.is_refused);
        entry.set_is_silent(record.is_silent);
        let mut blames = entry.init_blames(to_u32(record.blames.len()));
        for (index, (life, age)) in (0..).zip(&record.blames) {
            let mut blame = blames.reborrow().get(index);
            blame.set_endpoint(&*life.endpoint);
            blame.set_born(life.born);
            blame.set_service(&*life.service);
            blame.set_age_nanos(nanos(*age));
        }
    }
}

fn read_blame(reader: schema::blame::Reader<'_>) -> Result<(Life, Duration)> {
    let life = Life {
        endpoint: read_name(reader.get_endpoint()?)?,
        born: reader.get_born(),
        service: read_name(reader.get_service()?)?,
    };
    Ok((life, Duration::from_nanos(reader.get_age_nanos())))
}

/// Reads what is refused, or may be.
pub fn read_refused(
    reader: capnp::struct_list::Reader<'_, schema::refused::Owned>,
) -> Result<Vec<evidence::Record>> {
    use schema::refused::Which;
    let record = |entry: schema::refused::Reader<'_>| {
        let subject = match entry.which()? {
            Which::Content(digest) => Subject::Content(read_name(digest?)?),
            Which::Part(part) => Subject::Part(read_name(part?)?),
        };
        let blames = entry.get_blames()?.iter().map(read_blame);
        Ok(evidence::Record {
            subject,
            depth: entry.get_depth().into(),
            blames: blames.collect::<Result<_>>()?,
            is_refused: !entry.get_is_open(),
            is_silent: entry.get_is_silent(),
        })
    };
    reader.iter().map(record).collect()
}

/// Writes the grant or refusal of a request.
pub fn write_reply(
    reply: &std::result::Result<Grant, Refusal>,
    now: Time,
    builder: schema::reply::Builder<'_>,
) {
    match reply {
        Ok(grant) => {
            let mut entry = builder.init_grant();
            entry.set_endpoint(&*grant.endpoint);
            entry.set_address(grant.address.to_string());
            entry.set_release(grant.release.as_deref().unwrap_or_default());
            entry.set_is_watched(grant.is_watched);
            entry.set_limit(write_limit(grant.limit));
            if let Some(source) = grant.fetch_from {
                entry.set_fetch_from(source.to_string());
            }
            let mut inputs = entry.init_inputs(to_u32(grant.inputs.len()));
            for (index, handle) in (0..).zip(&grant.inputs) {
                inputs.set(index, &**handle);
            }
        }
        Err(refusal) => {
            let mut entry = builder.init_refusal();
            entry.set_reason(&*refusal.reason);
            entry.set_wait_nanos(nanos(refusal.retry_after));
            entry.set_is_moved(refusal.is_transferred);
            entry.set_is_final(refusal.is_final);
            let length = to_u32(refusal.transferred_results.len());
            write_transferred(&refusal.transferred_results, now, entry.init_made(length));
        }
    }
}

/// Reads the grant or refusal of a request.
pub fn read_reply(
    reader: schema::reply::Reader<'_>,
    now: Time,
) -> Result<std::result::Result<Grant, Refusal>> {
    use schema::reply::Which;
    match reader.which()? {
        Which::Grant(grant) => {
            let grant = grant?;
            let inputs = grant.get_inputs()?.iter().map(|handle| read_name(handle?));
            Ok(Ok(Grant {
                endpoint: read_name(grant.get_endpoint()?)?,
                address: read_address(grant.get_address()?)?,
                release: read_release(grant.get_release()?)?,
                is_watched: grant.get_is_watched(),
                limit: read_limit(grant.get_limit()),
                fetch_from: read_optional_address(grant.get_fetch_from()?)?,
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
                is_final: refusal.get_is_final(),
            }))
        }
    }
}

/// Converts a verdict to the schema's.
pub fn write_verdict(verdict: Verdict) -> schema::Verdict {
    match verdict {
        Verdict::Good => schema::Verdict::Good,
        Verdict::Bad => schema::Verdict::Bad,
        Verdict::Refused => schema::Verdict::Refused,
        Verdict::Lost => schema::Verdict::Lost,
        Verdict::Crashed => schema::Verdict::Crashed,
        Verdict::Dropped => schema::Verdict::Dropped,
        Verdict::Unknown => schema::Verdict::Unknown,
    }
}

/// Converts a verdict from the schema's.
pub fn read_verdict(verdict: schema::Verdict) -> Verdict {
    match verdict {
        schema::Verdict::Good => Verdict::Good,
        schema::Verdict::Bad => Verdict::Bad,
        schema::Verdict::Refused => Verdict::Refused,
        schema::Verdict::Lost => Verdict::Lost,
        schema::Verdict::Crashed => Verdict::Crashed,
        schema::Verdict::Dropped => Verdict::Dropped,
        schema::Verdict::Unknown => Verdict::Unknown,
    }
}

/// Converts a topic to the schema's.
pub fn write_topic(topic: Topic) -> schema::Topic {
    match topic {
        Topic::Catalog => schema::Topic::Catalog,
        Topic::Endpoints => schema::Topic::Endpoints,
        Topic::Daemons => schema::Topic::Daemons,
        Topic::Evidence => schema::Topic::Evidence,
    }
}

/// Converts a topic from the schema's.
pub fn read_topic(topic: schema::Topic) -> Topic {
    match topic {
        schema::Topic::Catalog => Topic::Catalog,
        schema::Topic::Endpoints => Topic::Endpoints,
        schema::Topic::Daemons => Topic::Daemons,
        schema::Topic::Evidence => Topic::Evidence,
    }
}

/// Writes the names of zones into a list that is made for their number.
pub fn write_zones<'a>(
    zones: &[id::Zone],
    init: impl FnOnce(u32) -> capnp::text_list::Builder<'a>,
) {
    let mut builder = init(to_u32(zones.len()));
    for (index, zone) in (0..).zip(zones) {
        builder.set(index, &**zone);
    }
}

/// Reads the names of zones.
pub fn read_zones(reader: capnp::text_list::Reader<'_>) -> Result<Vec<id::Zone>> {
    reader.iter().map(|zone| read_name(zone?)).collect()
}

/// Returns whether daemons of earlier versions know a topic; they drop a list with another one.
pub fn is_known_to_all(topic: Topic) -> bool {
    matches!(topic, Topic::Catalog | Topic::Endpoints)
}

/// Writes records of a topic with keys.
pub fn write_records(
    records: &[Record],
    mut builder: capnp::struct_list::Builder<'_, schema::record::Owned>,
) {
    for (index, record) in (0..).zip(records) {
        let mut entry = builder.reborrow().get(index);
        entry.set_key(&*record.key);
        match &record.value {
            Some(value) => entry.set_value(value),
            None => entry.set_is_removed(true),
        }
    }
}

/// Reads records of a topic with keys.
pub fn read_records(
    reader: capnp::struct_list::Reader<'_, schema::record::Owned>,
) -> Result<Vec<Record>> {
    let record = |entry: schema::record::Reader<'_>| {
        let value = entry.get_value()?.to_vec().into();
        Ok(Record {
            key: read_name(entry.get_key()?)?,
            value: (!entry.get_is_removed()).then_some(value),
        })
    };
    reader.iter().map(record).collect()
}

/// Writes watermarks of topics, each with its age.
pub fn write_watermarks(
    watermarks: &[(Topic, Position, Duration)],
    mut builder: capnp::struct_list::Builder<'_, schema::mark::Owned>,
) {
    for (index, (topic, position, age)) in (0..).zip(watermarks) {
        let mut entry = builder.reborrow().get(index);
        entry.set_topic(write_topic(*topic));
        entry.set_change(position.offset);
        entry.set_epoch(position.epoch);
        entry.set_age_nanos(nanos(*age));
    }
}

/// Reads the watermarks of a daemon that was pinged at `sent_at`, but for those that are too old: this
/// daemon may have started later than their time, which its clock cannot express.
pub fn read_watermarks(
    reader: capnp::struct_list::Reader<'_, schema::mark::Owned>,
    sent_at: Time,
) -> Result<Vec<(Topic, Watermark)>> {
    let watermark = |entry: schema::mark::Reader<'_>| {
        let topic = read_topic(entry.get_topic()?);
        // The age was taken after the ping was sent, so the watermark is not set too late.
        let as_of = sent_at.saturating_sub(Duration::from_nanos(entry.get_age_nanos()));
        let position = Position {
            epoch: entry.get_epoch(),
            offset: entry.get_change(),
        };
        Ok((topic, Watermark { position, as_of }))
    };
    let is_fresh = |entry: &schema::mark::Reader<'_>| {
        Duration::from_nanos(entry.get_age_nanos()) <= MAX_WATERMARK_AGE
    };
    reader.iter().filter(is_fresh).map(watermark).collect()
}
