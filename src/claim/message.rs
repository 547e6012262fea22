//! Messages about claims between daemons, as [the schema](../../schema/claim.capnp) has them.

use std::time::{Duration, UNIX_EPOCH};

use capnp::message::{Builder, ReaderOptions};
use capnp::{serialize, struct_list};

use super::{Claim, Outcome, StageResult, Verdict, record};
use crate::generated::claim_capnp as wire;
use crate::id;

event! {
    /// A message to the preferred writer.
    pub enum Message {
        /// The claim of a request that would run at the sending daemon.
        Claim(Claim),
        /// Outcomes of requests at the sending daemon.
        Settle(Vec<Settlement>),
    }

    /// The outcome of a claim.
    pub struct Settlement {
        /// The claim.
        pub claim: Claim,
        /// How its request ended.
        pub outcome: Outcome,
    }

    /// A reply of the preferred writer.
    pub enum Reply {
        /// Not decided yet; the sender repeats the message.
        Pending,
        /// The verdict, and whether the claim is in doubt all the same.
        Decided(Verdict, bool),
        /// Whether every outcome is durable.
        Durable(bool),
    }
}

/// The result of decoding a message.
pub type Result<T> = std::result::Result<T, capnp::Error>;

fn put_claim(mut to: wire::ask::Builder<'_>, claim: &Claim) {
    to.set_workspace(&*claim.workspace);
    to.set_key(&*claim.key);
    to.set_digest(&*claim.digest);
    to.set_request(claim.request.as_bytes());
    to.set_issued_ms(claim.issued.map_or(0, record::unix_millis));
    to.set_remaining_ms(record::duration_millis(claim.remaining));
}

fn text(from: capnp::text::Reader<'_>) -> Result<id::Name> {
    Ok(from.to_str()?.into())
}

fn get_claim(from: wire::ask::Reader<'_>) -> Result<Claim> {
    let request = id::Request::from_slice(from.get_request()?)
        .map_err(|e| capnp::Error::failed(e.to_string()))?;
    let issued_ms = from.get_issued_ms();
    Ok(Claim {
        workspace: text(from.get_workspace()?)?,
        key: text(from.get_key()?)?,
        digest: text(from.get_digest()?)?,
        request,
        issued: (issued_ms > 0).then(|| UNIX_EPOCH + Duration::from_millis(issued_ms)),
        remaining: Duration::from_millis(from.get_remaining_ms()),
    })
}

fn put_results(mut to: struct_list::Builder<'_, wire::part::Owned>, results: &[StageResult]) {
    for (index, result) in (0..).zip(results) {
        let mut part = to.reborrow().get(index);
        part.set_stage(&*result.stage);
        part.set_body(&*result.body);
    }
}

fn get_results(from: struct_list::Reader<'_, wire::part::Owned>) -> Result<Vec<StageResult>> {
    from.iter()
        .map(|part| {
            Ok(StageResult {
                stage: text(part.get_stage()?)?,
                body: text(part.get_body()?)?,
            })
        })
        .collect()
}

/// Returns a length in the type of Cap'n Proto lists; no list here is near its bound.
fn length<T>(list: &[T]) -> u32 {
    u32::try_from(list.len()).unwrap_or(u32::MAX)
}

fn put_settlement(mut to: wire::settle::Builder<'_>, settlement: &Settlement) {
    put_claim(to.reborrow().init_ask(), &settlement.claim);
    match &settlement.outcome {
        Outcome::Answered(body) => to.set_answered(&**body),
        Outcome::Partial(results) => put_results(to.init_partial(length(results)), results),
        Outcome::Unknown => to.set_unknown(()),
        Outcome::Released => to.set_released(()),
    }
}

fn get_settlement(from: wire::settle::Reader<'_>) -> Result<Settlement> {
    use wire::settle::Which;
    let outcome = match from.which()? {
        Which::Answered(body) => Outcome::Answered(text(body?)?),
        Which::Partial(parts) => Outcome::Partial(get_results(parts?)?),
        Which::Unknown(()) => Outcome::Unknown,
        Which::Released(()) => Outcome::Released,
    };
    Ok(Settlement {
        claim: get_claim(from.get_ask()?)?,
        outcome,
    })
}

impl Message {
    /// Encodes the message.
    pub fn encode(&self) -> Vec<u8> {
        let mut message = Builder::new_default();
        let mut root = message.init_root::<wire::message::Builder<'_>>();
        match self {
            Self::Claim(claim) => put_claim(root.init_ask(), claim),
            Self::Settle(settlements) => {
                let mut list = root.reborrow().init_settle(length(settlements));
                for (index, settlement) in (0..).zip(settlements) {
                    put_settlement(list.reborrow().get(index), settlement);
                }
            }
        }
        serialize::write_message_to_words(&message)
    }

    /// Decodes a message.
    pub fn decode(body: &[u8]) -> Result<Self> {
        use wire::message::Which;
        let message = serialize::read_message(body, ReaderOptions::new())?;
        let root = message.get_root::<wire::message::Reader<'_>>()?;
        Ok(match root.which()? {
            Which::Ask(claim) => Self::Claim(get_claim(claim?)?),
            Which::Settle(list) => {
                Self::Settle(list?.iter().map(get_settlement).collect::<Result<_>>()?)
            }
        })
    }
}

impl Reply {
    /// Encodes the reply.
    pub fn encode(&self) -> Vec<u8> {
        let mut message = Builder::new_default();
        let mut root = message.init_root::<wire::reply::Builder<'_>>();
        match self {
            Self::Pending => root.set_pending(()),
            Self::Durable(is_durable) => root.set_durable(*is_durable),
            Self::Decided(verdict, is_in_doubt) => {
                root.set_stands(*is_in_doubt);
                put_verdict(root, verdict);
            }
        }
        serialize::write_message_to_words(&message)
    }

    /// Decodes a reply.
    pub fn decode(body: &[u8]) -> Result<Self> {
        use wire::reply::Which;
        let message = serialize::read_message(body, ReaderOptions::new())?;
        let root = message.get_root::<wire::reply::Reader<'_>>()?;
        let verdict = match root.which()? {
            Which::Pending(()) => return Ok(Self::Pending),
            Which::Durable(is_durable) => return Ok(Self::Durable(is_durable)),
            Which::Granted(()) => Verdict::Granted,
            Which::Answered(body) => Verdict::Answered(text(body?)?),
            Which::Resume(parts) => Verdict::Resume(get_results(parts?)?),
            Which::Conflict(()) => Verdict::Conflict,
            Which::Unknown(()) => Verdict::Unknown,
            Which::NotRun(refusal) => get_refusal(refusal?)?,
        };
        Ok(Self::Decided(verdict, root.get_stands()))
    }
}

fn put_verdict(mut root: wire::reply::Builder<'_>, verdict: &Verdict) {
    match verdict {
        Verdict::Granted => root.set_granted(()),
        Verdict::Answered(body) => root.set_answered(&**body),
        Verdict::Resume(results) => put_results(root.init_resume(length(results)), results),
        Verdict::Conflict => root.set_conflict(()),
        Verdict::Unknown => root.set_unknown(()),
        Verdict::NotRun {
            reason,
            retry_after,
        } => {
            let mut to = root.init_not_run();
            to.set_reason(reason.as_str());
            to.set_has_retry_after(retry_after.is_some());
            to.set_retry_after_ms(retry_after.map_or(0, record::duration_millis));
        }
    }
}

fn get_refusal(from: wire::refusal::Reader<'_>) -> Result<Verdict> {
    let retry_after = Duration::from_millis(from.get_retry_after_ms());
    Ok(Verdict::NotRun {
        reason: from.get_reason()?.to_str()?.to_owned(),
        retry_after: from.get_has_retry_after().then_some(retry_after),
    })
}
