//! Datagrams between daemons, in the encoding of [the schema](../../schema/member.capnp).

use capnp::message::{Builder, ReaderOptions};
use capnp::serialize_packed;
use snafu::{ResultExt, Snafu};

use super::{EndpointReport, Evidence, Member, Status};
use crate::generated::member_capnp as schema;
use crate::id;
use crate::timeline::Stamp;

/// The largest datagram that is received whole.
pub const MAX_BYTES: usize = 1_400;
/// Words of the largest unpacked message, a snapshot over a connection.
const MAX_WORDS: usize = 1 << 20;

/// Why a datagram or snapshot could not be encoded or decoded.
#[derive(Debug, Snafu)]
#[snafu(display("{step}: {source}"))]
pub struct Error {
    step: &'static str,
    source: capnp::Error,
}

event! {
    /// What a datagram asks for.
    pub enum Kind {
        /// Answer with an `Ack`.
        Ping,
        /// The answer to a `Ping`.
        Ack,
        /// Probe another daemon on behalf of the sender.
        Relay {
            /// The daemon to probe.
            target: id::Daemon,
            /// Its address.
            address: String,
        },
        /// The answer to a `Relay` whose target did not answer.
        Nack,
        /// Nothing; it only carries updates.
        Gossip,
    }

    /// One datagram.
    pub struct Packet {
        /// What it asks for.
        pub kind: Kind,
        /// Matches an answer with its request.
        pub sequence: u32,
        /// The sender as it describes itself.
        pub sender: Member,
        /// Hybrid logical time of the sender.
        pub stamp: Stamp,
        /// Revision of the sender's configuration.
        pub revision: id::Revision,
        /// First bytes of the sender's chain digest.
        pub fingerprint: u64,
        /// Updates on daemons.
        pub members: Vec<Member>,
        /// Reports on endpoints.
        pub reports: Vec<EndpointReport>,
    }
}

impl Member {
    /// An upper bound of its bytes in a packed datagram.
    pub fn cost(&self) -> usize {
        let text = self.daemon.len() + self.address.len() + self.zone.len();
        text + text / 7 + 24
    }

    fn write(&self, mut to: schema::member::Builder<'_>) {
        to.set_daemon(&*self.daemon);
        to.set_address(self.address.as_str());
        to.set_zone(&*self.zone);
        to.set_incarnation(self.incarnation);
        to.set_status(match self.status {
            Status::Alive => schema::Status::Alive,
            Status::Suspect => schema::Status::Suspect,
            Status::Leaving => schema::Status::Leaving,
            Status::Dead => schema::Status::Dead,
        });
    }

    fn read(from: schema::member::Reader<'_>) -> capnp::Result<Self> {
        Ok(Self {
            daemon: from.get_daemon()?.to_str()?.into(),
            address: from.get_address()?.to_str()?.into(),
            zone: from.get_zone()?.to_str()?.into(),
            incarnation: from.get_incarnation(),
            status: match from.get_status()? {
                schema::Status::Alive => Status::Alive,
                schema::Status::Suspect => Status::Suspect,
                schema::Status::Leaving => Status::Leaving,
                schema::Status::Dead => Status::Dead,
            },
        })
    }
}

impl EndpointReport {
    /// An upper bound of its bytes in a packed datagram.
    pub fn cost(&self) -> usize {
        let text = self.endpoint.len() + self.reporter.len();
        text + text / 7 + 20
    }

    fn write(&self, mut to: schema::mark::Builder<'_>) {
        to.set_endpoint(&*self.endpoint);
        to.set_reporter(&*self.reporter);
        to.set_sequence(self.sequence);
        to.set_evidence(match self.evidence {
            Evidence::Leaving => schema::Evidence::Leaving,
            Evidence::Unreachable => schema::Evidence::Unreachable,
            Evidence::Draining => schema::Evidence::Draining,
            Evidence::Returned => schema::Evidence::Returned,
        });
    }

    fn read(from: schema::mark::Reader<'_>) -> capnp::Result<Self> {
        Ok(Self {
            endpoint: from.get_endpoint()?.to_str()?.into(),
            reporter: from.get_reporter()?.to_str()?.into(),
            sequence: from.get_sequence(),
            evidence: match from.get_evidence()? {
                schema::Evidence::Leaving => Evidence::Leaving,
                schema::Evidence::Unreachable => Evidence::Unreachable,
                schema::Evidence::Draining => Evidence::Draining,
                schema::Evidence::Returned => Evidence::Returned,
            },
        })
    }
}

fn set_kind(kind: &Kind, to: &mut schema::packet::Builder<'_>) {
    to.set_kind(match kind {
        Kind::Ping => schema::Kind::Ping,
        Kind::Ack => schema::Kind::Ack,
        Kind::Relay { .. } => schema::Kind::Relay,
        Kind::Nack => schema::Kind::Nack,
        Kind::Gossip => schema::Kind::Gossip,
    });
    if let Kind::Relay { target, address } = kind {
        to.set_target(&**target);
        to.set_target_address(address.as_str());
    }
}

fn kind_of(from: &schema::packet::Reader<'_>) -> capnp::Result<Kind> {
    Ok(match from.get_kind()? {
        schema::Kind::Ping => Kind::Ping,
        schema::Kind::Ack => Kind::Ack,
        schema::Kind::Nack => Kind::Nack,
        schema::Kind::Gossip => Kind::Gossip,
        schema::Kind::Relay => Kind::Relay {
            target: from.get_target()?.to_str()?.into(),
            address: from.get_target_address()?.to_str()?.into(),
        },
    })
}

fn list_length(items: usize) -> u32 {
    u32::try_from(items).unwrap_or(u32::MAX)
}

/// Encodes a datagram or snapshot.
///
/// # Errors
///
/// Fails when the message cannot be written to memory.
pub fn encode(packet: &Packet) -> Result<Vec<u8>, Error> {
    let mut message = Builder::new_default();
    let mut root = message.init_root::<schema::packet::Builder<'_>>();
    set_kind(&packet.kind, &mut root);
    root.set_sequence(packet.sequence);
    root.set_wall(packet.stamp.wall);
    root.set_counter(packet.stamp.counter);
    root.set_revision(packet.revision);
    root.set_fingerprint(packet.fingerprint);
    packet.sender.write(root.reborrow().init_sender());
    let mut members = root
        .reborrow()
        .init_members(list_length(packet.members.len()));
    for (i, member) in packet.members.iter().enumerate() {
        member.write(members.reborrow().get(list_length(i)));
    }
    let mut reports = root.init_marks(list_length(packet.reports.len()));
    for (i, report) in packet.reports.iter().enumerate() {
        report.write(reports.reborrow().get(list_length(i)));
    }
    let mut bytes = Vec::new();
    serialize_packed::write_message(&mut bytes, &message).context(Snafu {
        step: "encode datagram",
    })?;
    Ok(bytes)
}

/// Decodes a datagram or snapshot.
///
/// # Errors
///
/// Fails when the bytes are not a packet of the schema.
pub fn decode(mut bytes: &[u8]) -> Result<Packet, Error> {
    read(&mut bytes).context(Snafu {
        step: "decode datagram",
    })
}

fn read(bytes: &mut &[u8]) -> capnp::Result<Packet> {
    let mut options = ReaderOptions::new();
    options.traversal_limit_in_words(Some(MAX_WORDS));
    let message = serialize_packed::read_message(bytes, options)?;
    let root = message.get_root::<schema::packet::Reader<'_>>()?;
    let members = root.get_members()?.iter().map(Member::read);
    let reports = root.get_marks()?.iter().map(EndpointReport::read);
    Ok(Packet {
        kind: kind_of(&root)?,
        sequence: root.get_sequence(),
        sender: Member::read(root.get_sender()?)?,
        stamp: Stamp {
            wall: root.get_wall(),
            counter: root.get_counter(),
        },
        revision: root.get_revision(),
        fingerprint: root.get_fingerprint(),
        members: members.collect::<capnp::Result<_>>()?,
        reports: reports.collect::<capnp::Result<_>>()?,
    })
}
