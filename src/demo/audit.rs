//! Counts what was lost, doubled or crossed, from the journal and the callers' own checks.

use indexmap::{IndexMap, IndexSet};

use super::caller::Story;
use crate::id;
use crate::load::call::Outcome;
use crate::standin::journal::{Entry, Event};
use crate::standin::text::Flaw;

/// What went wrong, with the evidence.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Audit {
    /// Requests whose result or truth the caller did not get.
    pub lost: Vec<String>,
    /// Stages that ran again though they may not, and tokens that came twice.
    pub doubled: Vec<String>,
    /// Results that reached another request.
    pub crossed: Vec<String>,
}

/// The names of the stages that may not be repeated, by pipeline.
pub type Once = IndexMap<id::Pipeline, IndexSet<id::Stage>>;

fn is_once(once: &Once, entry: &Entry) -> bool {
    let stages = once.get(&entry.pipeline);
    stages.is_some_and(|s| s.contains(&entry.stage))
}

/// Reads the journal and the stories.
pub fn audit(once: &Once, journal: &[Entry], stories: &[Story]) -> Audit {
    let mut audit = Audit::default();
    audit.read(once, journal);
    let ran = begun(once, journal);
    for story in stories {
        audit.hear(story, &ran);
    }
    audit
}

/// Returns the requests that began a stage which may not be repeated.
fn begun(once: &Once, journal: &[Entry]) -> IndexSet<id::Request> {
    let begun = journal.iter().filter(|e| e.event == Event::Began);
    begun
        .filter(|e| is_once(once, e))
        .map(|e| e.request)
        .collect()
}

impl Audit {
    fn read(&mut self, once: &Once, journal: &[Entry]) {
        let mut runs: IndexMap<_, u32> = IndexMap::new();
        for entry in journal.iter().filter(|e| e.event == Event::Began) {
            let place = format!("{} {} at {}", entry.marker, entry.stage, entry.endpoint);
            if entry.crossed {
                self.crossed.push(place.clone());
            }
            if !is_once(once, entry) {
                continue;
            }
            let key = (
                entry.workspace.clone(),
                entry.idempotency_key.clone(),
                entry.stage.clone(),
            );
            let count = runs.entry(key).or_default();
            *count += 1;
            if *count > 1 {
                self.doubled.push(place);
            }
        }
    }

    fn hear(&mut self, story: &Story, ran: &IndexSet<id::Request>) {
        let name = &story.marker;
        if story.is_disordered {
            self.doubled.push(format!("{name}: tokens out of order"));
        }
        match story.flaw {
            Some(Flaw::Lost) => self.lost.push(format!("{name}: the answer is not whole")),
            Some(Flaw::Crossed) => self.crossed.push(format!("{name}: another's answer")),
            None => {}
        }
        if matches!(story.outcome, Outcome::Cut | Outcome::NotSent) {
            let reason = story.reason.as_deref().unwrap_or_default();
            self.lost.push(format!("{name}: no verdict: {reason}"));
        }
        let untrue = story.sends.iter().filter(|s| {
            s.outcome == Outcome::NotRun && s.request.is_some_and(|r| ran.contains(&r))
        });
        for _ in untrue {
            self.lost.push(format!("{name}: told not-run, but it ran"));
        }
    }
}

#[cfg(test)]
mod tests;
