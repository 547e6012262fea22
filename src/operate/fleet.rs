//! Asks all daemons of the fleet at once, through the daemon that the operator reached.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use super::{Answer, Collection, Console, Query};
use crate::id;
use crate::peer::{Handler, Link, Topic};

/// How long another daemon may take to answer.
const TIMEOUT: Duration = Duration::from_secs(2);
/// Daemons that are asked at the same time.
const WIDTH: usize = 16;

/// Asks the other daemons.
#[derive(Clone)]
pub struct Fleet {
    console: Arc<dyn Console>,
    link: Option<Arc<dyn Link>>,
}

impl Fleet {
    /// Makes a fleet of the daemon behind `console` and those that it reaches over `link`.
    pub fn new(console: Arc<dyn Console>, link: Option<Arc<dyn Link>>) -> Self {
        Self { console, link }
    }

    /// Asks this daemon alone.
    pub fn ask_one(&self, query: &Query) -> Collection {
        Collection {
            answers: vec![self.console.answer(query)],
            missing: Vec::new(),
        }
    }

    /// Asks every live daemon; one that does not answer is named as missing.
    pub fn ask_all(&self, query: &Query) -> Collection {
        let mut found = self.ask_one(query);
        let peers = self.console.peers();
        let Some(link) = &self.link else {
            found
                .missing
                .extend(peers.into_iter().map(|(name, _)| name));
            return found;
        };
        for group in peers.chunks(WIDTH) {
            let answers: Vec<Option<Answer>> = thread::scope(|scope| {
                let asked: Vec<_> = group
                    .iter()
                    .map(|(_, address)| scope.spawn(|| ask(link.as_ref(), address, query)))
                    .collect();
                asked.into_iter().map(|a| a.join().ok().flatten()).collect()
            });
            for ((name, _), answer) in group.iter().zip(answers) {
                match answer {
                    Some(answer) => found.answers.push(answer),
                    None => found.missing.push(name.clone()),
                }
            }
        }
        found
    }
}

fn ask(link: &dyn Link, address: &str, query: &Query) -> Option<Answer> {
    let body = serde_json::to_vec(query).ok()?;
    let answer = link.ask(address, Topic::Operate, &body, TIMEOUT).ok()?;
    serde_json::from_slice(&answer).ok()
}

/// Answers the questions of other daemons.
pub struct Responder {
    console: Arc<dyn Console>,
}

impl Responder {
    /// Answers from `console`.
    pub fn new(console: Arc<dyn Console>) -> Self {
        Self { console }
    }
}

impl Handler for Responder {
    fn handle(&self, _from: &id::Daemon, body: &[u8]) -> Result<Vec<u8>, String> {
        let query: Query = serde_json::from_slice(body).map_err(|e| e.to_string())?;
        serde_json::to_vec(&self.console.answer(&query)).map_err(|e| e.to_string())
    }
}
