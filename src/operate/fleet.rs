//! Collects answers from all daemons of the fleet, through the daemon that the operator reached.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use super::{Answer, Collection, Operations, Query};
use crate::id;
use crate::peer::{Handler, Link, Topic};

/// The timeout of a query to another daemon.
const QUERY_TIMEOUT: Duration = Duration::from_secs(2);
/// The most daemons that are queried at the same time.
const MAX_CONCURRENT_QUERIES: usize = 16;

/// Queries daemons of the fleet.
#[derive(Clone)]
pub struct Collector {
    operations: Arc<dyn Operations>,
    link: Option<Arc<dyn Link>>,
}

impl Collector {
    /// Queries the daemon behind `operations` and those reached over `link`.
    pub fn new(operations: Arc<dyn Operations>, link: Option<Arc<dyn Link>>) -> Self {
        Self { operations, link }
    }

    /// Queries this daemon alone.
    pub fn ask_self(&self, query: &Query) -> Collection {
        Collection {
            answers: vec![self.operations.answer(query)],
            missing: Vec::new(),
        }
    }

    /// Queries every live daemon; lists those without an answer as missing.
    pub fn ask_all(&self, query: &Query) -> Collection {
        let mut collection = self.ask_self(query);
        let peers = self.operations.peers();
        let Some(link) = &self.link else {
            collection
                .missing
                .extend(peers.into_iter().map(|(name, _)| name));
            return collection;
        };
        for group in peers.chunks(MAX_CONCURRENT_QUERIES) {
            let answers: Vec<Option<Answer>> = thread::scope(|scope| {
                let threads: Vec<_> = group
                    .iter()
                    .map(|(_, address)| scope.spawn(|| ask(link.as_ref(), address, query)))
                    .collect();
                threads
                    .into_iter()
                    .map(|t| t.join().ok().flatten())
                    .collect()
            });
            for ((name, _), answer) in group.iter().zip(answers) {
                match answer {
                    Some(answer) => collection.answers.push(answer),
                    None => collection.missing.push(name.clone()),
                }
            }
        }
        collection
    }
}

fn ask(link: &dyn Link, address: &str, query: &Query) -> Option<Answer> {
    let body = serde_json::to_vec(query).ok()?;
    let answer = link
        .ask(address, Topic::Operate, &body, QUERY_TIMEOUT)
        .ok()?;
    serde_json::from_slice(&answer).ok()
}

/// Answers the queries of other daemons.
pub struct Responder {
    operations: Arc<dyn Operations>,
}

impl Responder {
    /// Answers with `operations`.
    pub fn new(operations: Arc<dyn Operations>) -> Self {
        Self { operations }
    }
}

impl Handler for Responder {
    fn handle(&self, _from: &id::Daemon, body: &[u8]) -> Result<Vec<u8>, String> {
        let query: Query = serde_json::from_slice(body).map_err(|e| e.to_string())?;
        serde_json::to_vec(&self.operations.answer(&query)).map_err(|e| e.to_string())
    }
}
