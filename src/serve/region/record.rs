//! Fetches records of the store from the region's planner.
//!
//! A configuration of many routes occupies the link between regions for a second and more for each
//! daemon that reads it. So one daemon of a region reads it from the store and passes it on.

use std::time::Duration;

use slog::info;
use tokio::time::timeout;

use super::{Region, Regions, wire};
use crate::serve::progress::{CompressedRecord, Position, Topic, Update};

/// How long fetching a record from the planner may take; a small VM with a tenth of a core and
/// 10 Mbit/s takes half of it to read the largest one.
const FETCH_TIMEOUT: Duration = Duration::from_secs(1);

impl Region {
    /// Fetches a topic's newest record from the planner; none when no other daemon plans, or when
    /// it has no record.
    async fn fetch_record(&self, topic: Topic) -> Option<CompressedRecord> {
        let connection = self.connection.borrow().clone()?;
        let mut request = connection.client.copy_request();
        request.get().set_topic(wire::write_topic(topic));
        let answer = timeout(
            FETCH_TIMEOUT,
            connection.wait_response(request.send().promise),
        )
        .await;
        let read = match answer {
            Ok(Ok(answer)) => answer.get().and_then(|answer| {
                let packed = answer.get_packed()?.to_vec().into();
                let position = Position {
                    epoch: answer.get_epoch(),
                    offset: answer.get_change(),
                };
                let is_known = answer.get_knows_evacuated();
                let evacuated = is_known.then(|| wire::read_zones(answer.get_evacuated()?));
                Ok(CompressedRecord {
                    position,
                    packed,
                    evacuated: evacuated.transpose()?,
                })
            }),
            Ok(Err(error)) => Err(error),
            Err(_) => Err(capnp::Error::failed("no answer".into())),
        };
        match read {
            Ok(record) => Some(record).filter(|record| !record.packed.is_empty()),
            Err(error) => {
                info!(self.log, "no record from the planner";
                    "daemon" => &*connection.member.name, "error" => %error);
                None
            }
        }
    }
}

impl Region {
    /// Fetches what was written to a topic since a position from the planner; none when no other daemon
    /// plans, or when that does not know.
    async fn fetch_news(&self, topic: Topic, from: Position) -> Option<Update> {
        let connection = self.connection.borrow().clone()?;
        let mut request = connection.client.news_request();
        request.get().set_topic(wire::write_topic(topic));
        request.get().set_from(from.offset);
        request.get().set_epoch(from.epoch);
        let answer = timeout(
            FETCH_TIMEOUT,
            connection.wait_response(request.send().promise),
        );
        // Planners of earlier versions know no news, and the store is read then.
        let answer = answer.await.ok()?.ok()?;
        let answer = answer.get().ok().filter(|answer| answer.get_is_known())?;
        let next = Position {
            epoch: from.epoch,
            offset: answer.get_next(),
        };
        let records = wire::read_records(answer.get_records().ok()?).ok()?;
        Some(Update { records, next })
    }
}

impl Regions {
    /// Fetches what was written to a topic since a position from this region's planner, if that is another
    /// daemon and knows it.
    pub async fn fetch_news(&self, topic: Topic, from: Position) -> Option<Update> {
        self.own.fetch_news(topic, from).await
    }

    /// Fetches a topic's newest record from this region's planner, if that is another daemon.
    pub async fn fetch_record(&self, topic: Topic) -> Option<CompressedRecord> {
        self.own.fetch_record(topic).await
    }

    /// Returns whether this daemon is connected to another one that plans for its region.
    pub fn has_planner(&self) -> bool {
        self.own.connection.borrow().is_some()
    }

    /// Returns whether this daemon plans for its region, and so reads the store for it.
    pub fn is_planner(&self) -> bool {
        self.own.is_planner()
    }
}
