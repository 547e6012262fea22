//! Decides which subjects are refused, from the endpoints that ended under each.
//!
//! One part that was at all ends is a better explanation than several that were at some of them, and of
//! two equal ones the narrower is taken: the parts before it are in its prompts anyway.

use std::cmp::Reverse;
use std::ops::RangeInclusive;
use std::time::Duration;

use indexmap::IndexMap;

use super::{BLAME_RETENTION, Entry, Life, PAROLE_TIME, Subject};
use crate::clock::Time;

mod lives;

use lives::Lives;

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

/// A part, with the endpoints that ended under it and are not explained yet.
struct Candidate<'a> {
    subject: &'a Subject,
    depth: usize,
    lives: Lives,
}

impl Candidate<'_> {
    /// Returns the depths that do not differ enough from this one to say that one part holds the other: in long prompts
    /// the same part stands at different places.
    fn depths_about(&self) -> RangeInclusive<usize> {
        (self.depth * 3).div_ceil(4)..=self.depth * 4 / 3
    }

    /// Returns whether the places of two parts tell nothing of which holds the other.
    fn is_unordered(&self, other: &Self) -> bool {
        let about = self.depths_about();
        about.start() < about.end() && about.contains(&other.depth)
    }
}

/// Returns the subjects that are to be refused and are not refused yet.
pub fn refused(entries: &IndexMap<Subject, Entry>, now: Time) -> Vec<Subject> {
    let counted = Counted::new(entries, now);
    let mut explained = counted.explained.clone();
    let mut refused: Vec<Subject> = Vec::new();
    loop {
        let guilty = guilty_parts(&counted.candidates(&explained));
        if guilty.is_empty() {
            break;
        }
        for subject in guilty {
            explained.add(&counted.lives(&subject));
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
    /// Those of each entry, in the same order.
    lives: Vec<Lives>,
    /// Those under parts that are refused.
    explained: Lives,
    now: Time,
}

impl<'a> Counted<'a> {
    fn new(entries: &'a IndexMap<Subject, Entry>, now: Time) -> Self {
        let blames = entries.values().flat_map(|entry| &entry.blames);
        // The number of each life, and whether an answer had begun there.
        let mut all: IndexMap<&Life, bool> = IndexMap::new();
        for (life, blame) in blames {
            *all.entry(life).or_default() |= blame.has_begun;
        }
        let lives = |entry: &Entry| -> Lives {
            let is_settled = |at: Time| at + SETTLE_TIME <= now && now < at + BLAME_RETENTION;
            let blames = entry.blames.iter();
            let counted = blames.filter_map(|(life, blame)| {
                let (number, _, has_begun) = all.get_full(life)?;
                let is_counted = is_settled(blame.at) && (blame.has_begun || !*has_begun);
                is_counted.then_some(number)
            });
            counted.collect()
        };
        let is_refused_part = |entry: &&Entry| entry.depth > 0 && entry.is_refused(now);
        let refused = entries.values().filter(is_refused_part);
        let refused = refused.flat_map(|entry| entry.blames.keys());
        Self {
            entries,
            lives: entries.values().map(lives).collect(),
            explained: refused.filter_map(|life| all.get_index_of(life)).collect(),
            now,
        }
    }

    /// Returns the ends that count for a subject.
    fn lives(&self, subject: &Subject) -> Lives {
        let index = self.entries.get_index_of(subject);
        index.map_or_else(Lives::default, |index| self.lives[index].clone())
    }

    /// Returns the parts with ends that are not explained; most ends first, then the narrowest first.
    fn candidates(&self, explained: &Lives) -> Vec<Candidate<'a>> {
        let parts = self.entries.iter().zip(&self.lives);
        let parts = parts.filter(|((_, entry), lives)| {
            entry.depth > 0 && !lives.is_empty() && !entry.is_refused(self.now)
        });
        let candidate = |((subject, entry), lives): ((&'a Subject, &Entry), &Lives)| Candidate {
            subject,
            depth: entry.depth,
            lives: lives.without(explained),
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
        let contents = self.entries.values().zip(&self.lives);
        let contents = contents.filter(|(entry, lives)| entry.depth == 0 && lives.len() > 1);
        contents.map(|(_, lives)| lives).collect()
    }

    /// Returns whether a content is guilty. A request that is tried again may lose two endpoints to
    /// another one; then a third has to tell them apart, as it has to where endpoints ended in silence.
    fn is_content_guilty(&self, subject: &Subject, entry: &Entry, explained: &Lives) -> bool {
        let lives = self.lives(subject).without(explained);
        let is_foreign = |other: &Subject| match other {
            Subject::Content(_) => other != subject,
            Subject::Part(part) => !entry.parts.contains(part),
        };
        let mut others = self.entries.keys().zip(&self.lives);
        let is_shared = lives.len() == CONTENT_LIMIT
            && others.any(|(other, ends)| lives.is_subset(ends) && is_foreign(other));
        lives.len() >= CONTENT_LIMIT + usize::from(is_shared || entry.is_silent)
    }
}

/// Returns the parts that are the best explanation of the ends; none while it is not clear.
fn guilty_parts(candidates: &[Candidate<'_>]) -> Vec<Subject> {
    let depths = Depths::new(candidates);
    let is_suspect =
        |part: &&Candidate<'_>| part.lives.len() >= PART_LIMIT && !depths.is_chance(part);
    let suspects: Vec<&Candidate<'_>> = candidates.iter().filter(is_suspect).collect();
    for part in &suspects {
        // Candidates are sorted by the number of their ends.
        let mut larger = candidates
            .iter()
            .take_while(|other| other.lives.len() >= part.lives.len());
        let is_broader_better = larger.any(|other| {
            part.lives.is_subset(&other.lives)
                && if part.is_unordered(other) {
                    other.lives.len() > part.lives.len()
                } else {
                    other.depth > part.depth && !explains_most(part, other)
                }
        });
        let is_narrower_better = suspects.iter().any(|other| {
            other.depth < part.depth && !part.is_unordered(other) && explains_most(other, part)
        });
        let is_unclear = part.lives.len() < CERTAIN_LIMIT
            && suspects.iter().any(|other| {
                other.subject != part.subject
                    && part.is_unordered(other)
                    && other.lives == part.lives
            });
        if is_broader_better || is_narrower_better || is_unclear {
            continue;
        }
        match narrower_pair(candidates, part) {
            Some(pair) if pair.iter().all(&is_suspect) => {
                return pair.map(|part| part.subject.clone()).into();
            }
            Some(_) if part.lives.len() < CERTAIN_LIMIT => {}
            _ => return with_twins(candidates, part),
        }
    }
    Vec::new()
}

/// How often parts are at ends, by their depth.
struct Depths<'a>(Vec<Depth<'a>>);

#[derive(Default)]
struct Depth<'a> {
    parts: usize,
    /// The sum of the numbers of their ends.
    blames: usize,
    lives: Lives,
    /// How many parts are at exactly the same ends.
    alike: IndexMap<&'a Lives, usize>,
}

impl<'a> Depths<'a> {
    fn new(candidates: &'a [Candidate<'a>]) -> Self {
        let deepest = candidates.iter().map(|candidate| candidate.depth).max();
        let mut depths: Vec<Depth<'_>> = Vec::new();
        depths.resize_with(deepest.map_or(0, |depth| depth + 1), Depth::default);
        for candidate in candidates {
            let depth = &mut depths[candidate.depth];
            depth.parts += 1;
            depth.blames += candidate.lives.len();
            depth.lives.add(&candidate.lives);
            *depth.alike.entry(&candidate.lives).or_default() += 1;
        }
        Self(depths)
    }

    /// Returns whether a harmless part may be at as many ends, as far as other parts show how often that happens: those
    /// of the same depth, and those about it, since the same part stands at different places of long prompts.
    fn is_chance(&self, part: &Candidate<'_>) -> bool {
        if part.lives.len() >= CERTAIN_LIMIT {
            return false;
        }
        let expected = self.others(part, part.depth..=part.depth).expected_alike();
        let about = self.others(part, part.depths_about());
        expected.max(about.expected_again()) > MAX_CHANCE
    }

    /// Sums up the other parts of some depths.
    fn others(&self, part: &Candidate<'_>, depths: RangeInclusive<usize>) -> Others {
        let count = part.lives.len();
        let mut lives = part.lives.clone();
        let (mut parts, mut blames) = (0, 0);
        for depth in depths.filter_map(|depth| self.0.get(depth)) {
            // Parts that ended the same endpoints are refused together.
            let alike = depth.alike.get(&part.lives).copied().unwrap_or_default();
            parts += depth.parts - alike;
            blames += depth.blames - alike * count;
            lives.add(&depth.lives);
        }
        Others {
            count: i32::try_from(count).unwrap_or(i32::MAX),
            parts: parts as f64,
            blames: blames as f64,
            ends: lives.len() as f64,
        }
    }
}

/// Parts beside one that is at `count` ends.
struct Others {
    count: i32,
    parts: f64,
    /// The sum of the numbers of their ends.
    blames: f64,
    /// The ends of all of them.
    ends: f64,
}

impl Others {
    /// Returns how many of them are expected at so many ends, if each is at any end as often as the others are.
    fn expected_alike(&self) -> f64 {
        let share = self.blames / self.ends / self.parts.max(1.0);
        self.parts * share.powi(self.count)
    }

    /// Returns how many of those at one end are expected at the others, too, as often as they come again.
    fn expected_again(&self) -> f64 {
        let again = (self.blames - self.parts) / self.parts.max(1.0) / (self.ends - 1.0).max(1.0);
        self.blames / self.ends * again.powi(self.count - 1)
    }
}

/// Returns whether nearly all ends of a broader part are those of a narrower one.
fn explains_most(narrower: &Candidate<'_>, broader: &Candidate<'_>) -> bool {
    let unexplained = broader.lives.without(&narrower.lives).len();
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
        let left = part.lives.without(&first.lives);
        left.is_subset(&second.lives)
    })
}

/// Returns a part with those that ended exactly the same endpoints: they cannot be told apart.
fn with_twins(candidates: &[Candidate<'_>], part: &Candidate<'_>) -> Vec<Subject> {
    let is_twin = |other: &&Candidate<'_>| {
        (other.depth == part.depth || part.is_unordered(other)) && other.lives == part.lives
    };
    let twins = candidates.iter().filter(is_twin);
    twins.map(|part| part.subject.clone()).collect()
}
