//! Decides which subjects are refused, from the endpoints that ended under each.
//!
//! One part that was at all ends is a better explanation than several that were at some of them, and of
//! two equal ones the narrower is taken: the parts before it are in its prompts anyway.

use std::cmp::Reverse;
use std::time::Duration;

use indexmap::{IndexMap, IndexSet};

use super::{BLAME_RETENTION, Entry, Life, PAROLE_TIME, Subject};
use crate::clock::Time;

/// How long a blame waits for those of other requests at the same endpoint, which other daemons report.
pub const SETTLE_TIME: Duration = Duration::from_millis(100);
/// The endpoints that a prompt part ends before it is refused. Harmless parts are at hand when
/// endpoints end, too, and one of three answers clears them.
const PART_LIMIT: usize = 3;
/// The endpoints that one content ends before it is refused.
const CONTENT_LIMIT: usize = 2;
/// The endpoints that a part has to end before it is refused although two narrower ones explain them, or
/// although a harmless part may be at as many ends.
const CERTAIN_LIMIT: usize = 6;
/// The expected number of harmless parts that are at as many ends as a part that is refused.
const MAX_CHANCE: f64 = 0.25;
/// One in so many ends may be unexplained by a narrower part, as engines end for other reasons, too.
const UNEXPLAINED_RATIO: usize = 4;

/// The most narrower parts of which pairs are tried, those with the most ends first.
const MAX_NARROWER: usize = 64;

type Lives = IndexSet<Life>;

/// A part, with the endpoints that ended under it and are not explained yet.
struct Candidate<'a> {
    subject: &'a Subject,
    depth: usize,
    lives: Lives,
}

/// Returns the subjects that are to be refused and are not refused yet.
pub fn refused(entries: &IndexMap<Subject, Entry>, now: Time) -> Vec<Subject> {
    let counted = Counted::new(entries, now);
    let mut explained = counted.explained();
    let mut refused: Vec<Subject> = Vec::new();
    loop {
        let guilty = guilty_parts(&counted.candidates(&explained));
        if guilty.is_empty() {
            break;
        }
        for subject in guilty {
            explained.extend(counted.lives[&subject].iter().cloned());
            refused.push(subject);
        }
    }
    for (subject, entry) in entries {
        let is_open = !entry.is_refused(now) && !refused.contains(subject);
        let is_guilty = || match subject {
            Subject::Part(_) => false,
            Subject::Content(_) => counted.is_content_guilty(subject, entry, &explained),
        };
        if is_open && (is_parole_broken(entry, now) || is_guilty()) {
            refused.push(subject.clone());
        }
    }
    refused
}

/// Returns whether content that was refused before has ended one more endpoint.
fn is_parole_broken(entry: &Entry, now: Time) -> bool {
    let until = entry.refused_until;
    let Some(until) = until.filter(|until| now < *until + PAROLE_TIME) else {
        return false;
    };
    let is_new = |at: Time| at >= until && at + SETTLE_TIME <= now;
    entry.blames.values().any(|blame| is_new(blame.at))
}

/// The ends that count for each subject.
struct Counted<'a> {
    entries: &'a IndexMap<Subject, Entry>,
    lives: IndexMap<Subject, Lives>,
    now: Time,
}

impl<'a> Counted<'a> {
    fn new(entries: &'a IndexMap<Subject, Entry>, now: Time) -> Self {
        let blames = entries.values().flat_map(|entry| &entry.blames);
        let begun = blames.filter(|(_, blame)| blame.has_begun);
        let begun: IndexSet<&Life> = begun.map(|(life, _)| life).collect();
        let lives = |entry: &Entry| -> Lives {
            let is_settled = |at: Time| at + SETTLE_TIME <= now && now < at + BLAME_RETENTION;
            let blames = entry.blames.iter();
            let counted = blames.filter(|(life, blame)| {
                is_settled(blame.at) && (blame.has_begun || !begun.contains(life))
            });
            counted.map(|(life, _)| life.clone()).collect()
        };
        let lives = entries
            .iter()
            .map(|(subject, entry)| (subject.clone(), lives(entry)))
            .collect();
        Self {
            entries,
            lives,
            now,
        }
    }

    /// Returns the ends under parts that are refused.
    fn explained(&self) -> Lives {
        let entries = self.entries.values();
        let refused = entries.filter(|entry| entry.depth > 0 && entry.is_refused(self.now));
        refused
            .flat_map(|entry| entry.blames.keys().cloned())
            .collect()
    }

    /// Returns the parts with ends that are not explained; most ends first, then the narrowest first.
    fn candidates(&self, explained: &Lives) -> Vec<Candidate<'a>> {
        let parts = self.entries.iter();
        let parts = parts.filter(|(_, entry)| entry.depth > 0 && !entry.is_refused(self.now));
        let candidate = |(subject, entry): (&'a Subject, &Entry)| Candidate {
            subject,
            depth: entry.depth,
            lives: self.lives[subject].difference(explained).cloned().collect(),
        };
        let contents = self.repeated_contents();
        let is_open = |part: &Candidate<'_>| {
            let is_one_content = |lives: &&Lives| part.lives.is_subset(lives);
            !part.lives.is_empty()
                && (part.lives.len() == 1 || !contents.iter().any(is_one_content))
        };
        let mut candidates: Vec<Candidate<'a>> = parts.map(candidate).filter(is_open).collect();
        candidates.sort_by_key(|part| (Reverse(part.lives.len()), part.depth));
        candidates
    }

    /// Returns the ends of each content that was at several; it says nothing about its parts.
    fn repeated_contents(&self) -> Vec<&Lives> {
        let contents = self.entries.iter().zip(self.lives.values());
        let contents = contents.filter(|((_, entry), lives)| entry.depth == 0 && lives.len() > 1);
        contents.map(|(_, lives)| lives).collect()
    }

    /// Returns whether a content is guilty. A request that is tried again may lose two endpoints to
    /// another one; then a third has to tell them apart, as it has to where endpoints ended in silence.
    fn is_content_guilty(&self, subject: &Subject, entry: &Entry, explained: &Lives) -> bool {
        let lives: Lives = self.lives[subject].difference(explained).cloned().collect();
        let is_foreign = |other: &Subject| match other {
            Subject::Content(_) => other != subject,
            Subject::Part(part) => !entry.parts.contains(part),
        };
        let mut others = self.lives.iter().filter(|(other, _)| is_foreign(other));
        let is_shared =
            lives.len() == CONTENT_LIMIT && others.any(|(_, other)| lives.is_subset(other));
        lives.len() >= CONTENT_LIMIT + usize::from(is_shared || entry.is_silent)
    }
}

/// Returns the parts that are the best explanation of the ends; none while it is not clear.
fn guilty_parts(candidates: &[Candidate<'_>]) -> Vec<Subject> {
    let is_suspect =
        |part: &&Candidate<'_>| part.lives.len() >= PART_LIMIT && !is_chance(candidates, part);
    let suspects: Vec<&Candidate<'_>> = candidates.iter().filter(is_suspect).collect();
    for part in &suspects {
        let is_broader_better = candidates.iter().any(|other| {
            let is_broader = other.depth > part.depth && part.lives.is_subset(&other.lives);
            is_broader && !explains_most(part, other)
        });
        let is_narrower_better = suspects
            .iter()
            .any(|other| other.depth < part.depth && explains_most(other, part));
        if is_broader_better || is_narrower_better {
            continue;
        }
        match narrower_pair(candidates, part) {
            Some(pair) if pair.iter().all(|part| part.lives.len() >= PART_LIMIT) => {
                return pair.map(|part| part.subject.clone()).into();
            }
            Some(_) if part.lives.len() < CERTAIN_LIMIT => {}
            _ => return with_twins(candidates, part),
        }
    }
    Vec::new()
}

/// Returns whether a harmless part may be at as many ends: as far as the other parts of the same depth show
/// how often that happens.
fn is_chance(candidates: &[Candidate<'_>], part: &Candidate<'_>) -> bool {
    let count = part.lives.len();
    if count >= CERTAIN_LIMIT {
        return false;
    }
    // Parts that ended the same endpoints are refused together.
    let is_alike = |other: &&Candidate<'_>| other.depth == part.depth && other.lives != part.lives;
    let (mut others, mut blames) = (0.0, 0.0);
    let mut lives = part.lives.clone();
    for other in candidates.iter().filter(is_alike) {
        others += 1.0;
        blames += other.lives.len() as f64;
        lives.extend(other.lives.iter().cloned());
    }
    let share = blames / lives.len() as f64 / f64::max(others, 1.0);
    others * share.powi(i32::try_from(count).unwrap_or(i32::MAX)) > MAX_CHANCE
}

/// Returns whether nearly all ends of a broader part are those of a narrower one.
fn explains_most(narrower: &Candidate<'_>, broader: &Candidate<'_>) -> bool {
    let explained = broader.lives.intersection(&narrower.lives).count();
    let unexplained = broader.lives.len() - explained;
    unexplained * UNEXPLAINED_RATIO <= broader.lives.len()
}

/// Returns two narrower parts that explain all ends of a part together, if there are such.
fn narrower_pair<'a>(
    candidates: &'a [Candidate<'a>],
    part: &Candidate<'_>,
) -> Option<[&'a Candidate<'a>; 2]> {
    let narrower: Vec<&Candidate<'_>> = candidates
        .iter()
        .filter(|other| other.depth < part.depth)
        .take(MAX_NARROWER)
        .collect();
    let pairs = narrower.iter().enumerate().flat_map(|(index, first)| {
        let others = narrower[index + 1..].iter();
        others.map(move |second| [*first, *second])
    });
    // Candidates are sorted, so the first pair explains the most ends twice over.
    pairs.into_iter().find(|[first, second]| {
        let mut lives = part.lives.iter();
        lives.all(|life| first.lives.contains(life) || second.lives.contains(life))
    })
}

/// Returns a part with those that ended exactly the same endpoints: they cannot be told apart.
fn with_twins(candidates: &[Candidate<'_>], part: &Candidate<'_>) -> Vec<Subject> {
    let is_twin = |other: &&Candidate<'_>| other.depth == part.depth && other.lives == part.lives;
    let twins = candidates.iter().filter(is_twin);
    twins.map(|part| part.subject.clone()).collect()
}
