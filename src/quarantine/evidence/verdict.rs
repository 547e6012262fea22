//! Decides which subjects are refused, from the endpoints that ended under each.

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
/// The most deeper parts by whose guilt the guilt of a part is explained.
const MAX_CULPRITS: usize = 2;
/// The endpoints above which a part is refused although parts after it might explain them.
const UNEXPLAINED_LIMIT: usize = 6;

type Lives = IndexSet<Life>;

/// Returns the subjects that are to be refused and are not refused yet.
pub fn refused(entries: &IndexMap<Subject, Entry>, now: Time) -> Vec<Subject> {
    let mut explained: Lives = entries
        .values()
        .filter(|entry| entry.depth > 0 && entry.is_refused(now))
        .flat_map(|entry| entry.blames.keys().cloned())
        .collect();
    let mut refused = Vec::new();
    let mut found: Vec<(usize, Lives)> = Vec::new();
    for (subject, entry) in by_breadth(entries, now) {
        let all = settled(entry, now);
        let open: Lives = all.difference(&explained).cloned().collect();
        let is_guilty = match subject {
            Subject::Part(_) => {
                // Parts that only come together cannot be told apart.
                let is_twin =
                    |(depth, lives): &(usize, Lives)| *depth == entry.depth && *lives == all;
                is_part_guilty(entries, entry, &open, now) || found.iter().any(is_twin)
            }
            Subject::Content(_) => is_content_guilty(entries, subject, entry, &open, now),
        };
        if is_guilty || is_parole_broken(entry, now) {
            refused.push(subject.clone());
            if entry.depth > 0 {
                explained.extend(all.iter().cloned());
                found.push((entry.depth, all));
            }
        }
    }
    refused
}

/// Returns what is not refused, the broadest subjects first: if one explains what many others would
/// have to explain together, it is the likelier cause.
fn by_breadth(entries: &IndexMap<Subject, Entry>, now: Time) -> Vec<(&Subject, &Entry)> {
    let open = entries.iter();
    let open = open.filter(|(_, entry)| !entry.is_refused(now) && !entry.blames.is_empty());
    let mut subjects: Vec<(&Subject, &Entry)> = open.collect();
    subjects.sort_by_key(|(_, entry)| std::cmp::Reverse((entry.depth, entry.blames.len())));
    subjects
}

fn settled(entry: &Entry, now: Time) -> Lives {
    let is_settled = |at: Time| at + SETTLE_TIME <= now && now < at + BLAME_RETENTION;
    let blames = entry.blames.iter().filter(|(_, at)| is_settled(**at));
    blames.map(|(life, _)| life.clone()).collect()
}

/// Returns whether content that was refused before has ended one more endpoint.
fn is_parole_broken(entry: &Entry, now: Time) -> bool {
    let until = entry.refused_until;
    let Some(until) = until.filter(|until| now < *until + PAROLE_TIME) else {
        return false;
    };
    let is_new = |at: &Time| *at >= until && *at + SETTLE_TIME <= now;
    entry.blames.values().any(is_new)
}

fn is_part_guilty(
    entries: &IndexMap<Subject, Entry>,
    entry: &Entry,
    open: &Lives,
    now: Time,
) -> bool {
    // One content that comes again and again says nothing about its parts; several do.
    let mut contents = entries.values().filter(|entry| entry.depth == 0);
    let is_one_content = |entry: &Entry| open.is_subset(&settled(entry, now));
    if open.len() < PART_LIMIT || contents.any(is_one_content) {
        return false;
    }
    match culprits(entries, entry.depth, open, now) {
        Some(1) => false,
        Some(_) => open.len() >= UNEXPLAINED_LIMIT,
        None => true,
    }
}

/// Returns how many narrower parts explain the ends of all these endpoints, if few do.
fn culprits(
    entries: &IndexMap<Subject, Entry>,
    depth: usize,
    open: &Lives,
    now: Time,
) -> Option<usize> {
    let narrower = entries.values();
    let narrower = narrower.filter(|entry| (1..depth).contains(&entry.depth));
    let narrower: Vec<Lives> = narrower.map(|entry| settled(entry, now)).collect();
    let mut left = open.clone();
    for count in 1..=MAX_CULPRITS {
        let explained = |lives: &&Lives| lives.intersection(&left).count();
        let best = narrower.iter().max_by_key(explained)?;
        left.retain(|life| !best.contains(life));
        if left.is_empty() {
            return Some(count);
        }
    }
    None
}

/// Returns whether a content is guilty. A request that is tried again may lose two endpoints to another
/// one; then a third has to tell them apart.
fn is_content_guilty(
    entries: &IndexMap<Subject, Entry>,
    subject: &Subject,
    entry: &Entry,
    open: &Lives,
    now: Time,
) -> bool {
    let is_foreign = |other: &Subject| match other {
        Subject::Content(_) => other != subject,
        Subject::Part(part) => !entry.parts.contains(part),
    };
    let mut others = entries.iter().filter(|(other, _)| is_foreign(other));
    let is_shared = open.len() == CONTENT_LIMIT
        && others.any(|(_, other)| open.is_subset(&settled(other, now)));
    open.len() >= CONTENT_LIMIT + usize::from(is_shared)
}
