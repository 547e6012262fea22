//! Records of the store by way of the planner.
//!
//! A configuration of many routes takes a second and more of the link between regions for each
//! daemon that reads it. So one daemon of a region reads it from the store and hands it on.

use std::time::Duration;

use slog::info;
use tokio::time::timeout;

use super::{Region, Regions, wire};
use crate::serve::progress::{CompressedRecord, Topic};

/// How long the planner may take to hand a record on; a small VM with a tenth of a core and 10 Mbit/s
/// takes half of it to read the largest one.
const FETCH_TIMEOUT: Duration = Duration::from_secs(1);

impl Region {
    /// Returns the newest record of a topic as the planner has it; none when there is no planner
    /// but this daemon, or when it has none to hand on.
    async fn fetch_record(&self, topic: Topic) -> Option<CompressedRecord> {
        let line = self.connection.borrow().clone()?;
        let mut request = line.client.copy_request();
        request.get().set_topic(wire::write_topic(topic));
        let answer = timeout(FETCH_TIMEOUT, line.wait_response(request.send().promise)).await;
        let read = match answer {
            Ok(Ok(answer)) => answer.get().and_then(|answer| {
                let packed = answer.get_packed()?.to_vec().into();
                let change = answer.get_change();
                Ok(CompressedRecord {
                    offset: change,
                    packed,
                })
            }),
            Ok(Err(error)) => Err(error),
            Err(_) => Err(capnp::Error::failed("no answer".into())),
        };
        match read {
            Ok(copy) => Some(copy).filter(|copy| !copy.packed.is_empty()),
            Err(error) => {
                info!(self.log, "no copy"; "daemon" => &*line.member.name, "error" => %error);
                None
            }
        }
    }
}

impl Regions {
    /// Returns the newest record of a topic as this region's planner has it.
    pub async fn fetch_record(&self, topic: Topic) -> Option<CompressedRecord> {
        self.own.fetch_record(topic).await
    }

    /// Returns whether another daemon plans for this region and answers.
    pub fn has_planner(&self) -> bool {
        self.own.connection.borrow().is_some()
    }

    /// Returns whether this daemon plans for its region: then it is the one that reads the store.
    pub fn is_planner(&self) -> bool {
        self.own.is_planner()
    }
}
