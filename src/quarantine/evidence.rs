//! Evidence of which content ends the endpoints that run it. It does no I/O and is given the time.
//!
//! A request is blamed as a whole and by each part of its prompt that others share, because new
//! requests with a fatal part end endpoints as well. What several requests have in common with one
//! that ended its endpoint is cleared as soon as an endpoint answers it and lives on. See
//! [the design note](../../docs/design/quarantine.md).

use std::cell::OnceCell;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

use indexmap::{IndexMap, IndexSet};

use crate::clock::Time;
use crate::id;

mod share;
mod silence;
mod trace;
mod verdict;

/// How long an answer has to be written before it shows that its content is harmless. Endpoints end
/// within a tenth of a second after they begin a fatal one, and a busy daemon reads events late.
pub const PROOF_TIME: Duration = Duration::from_millis(300);
/// How long a blame counts towards a refusal.
pub const BLAME_RETENTION: Duration = Duration::from_secs(600);
/// How long content is refused after the last endpoint that it ended.
pub const REFUSAL_TIME: Duration = Duration::from_secs(600);
/// How long after its refusal one more endpoint is enough to refuse content again.
pub const PAROLE_TIME: Duration = Duration::from_secs(3_600);
/// The endpoints that ended under a part from which on few requests with it run at once.
const MIN_TRIAL_BLAMES: usize = 2;
/// The most subjects that are remembered in full. What only one endpoint ended under leaves a trace when there are more.
const MAX_SUBJECTS: usize = 4_096;
/// The share of that which is kept when there are more.
const KEPT_SUBJECTS: usize = MAX_SUBJECTS / 4 * 3;
/// The most subjects, with those that several endpoints ended under or that are refused.
const MAX_SHARED_SUBJECTS: usize = 4 * MAX_SUBJECTS;
/// A content counts as one more subject for so many parts of its prompt.
const PARTS_PER_SUBJECT: usize = 16;
/// The most ended endpoints that are remembered for one subject.
const MAX_LIVES: usize = 16;

event! {
    /// What can be blamed for the end of endpoints.
    #[derive(Eq, Hash)]
    pub enum Subject {
        /// The digest of a request's content.
        Content(id::Digest),
        /// A prompt part that requests share.
        Part(id::Name),
    }

    /// One life of an endpoint.
    #[derive(Eq, Hash)]
    pub struct Life {
        /// The endpoint.
        pub endpoint: id::Endpoint,
        /// The start of its process.
        pub born: u64,
        /// The service that it belongs to.
        pub service: id::Pool,
    }

    /// What one request can be blamed by.
    pub struct Suspects {
        /// The digest of its content.
        pub content: id::Digest,
        /// The parts of its prompt that other requests may share, in order.
        pub parts: Vec<id::Name>,
    }
}

impl Suspects {
    /// Returns the subjects, each with its depth: 0 for the content, and for a part its distance from
    /// the end of the prompt. The deeper a part, the more requests have it.
    fn subjects(&self) -> impl Iterator<Item = (Subject, usize)> {
        let content = std::iter::once((Subject::Content(self.content.clone()), 0));
        let parts = self.parts.iter().rev().zip(1..);
        let parts = parts.map(|(part, depth)| (Subject::Part(part.clone()), depth));
        content.chain(parts)
    }
}

/// The end of an endpoint under a subject.
#[derive(Clone, Copy, Debug)]
struct Blame {
    at: Time,
    /// Whether an answer on the subject had begun. Where one had, those that had not are no cause.
    has_begun: bool,
}

/// What is known of one subject.
#[derive(Clone, Debug, Default)]
struct Entry {
    depth: usize,
    /// The parts of a content's prompt, which are blamed with it.
    parts: Vec<id::Name>,
    /// The endpoints that ended under the subject.
    blames: IndexMap<Life, Blame>,
    /// Whether endpoints ended in silence under it, which is weaker evidence.
    is_silent: bool,
    /// Blames up to this time are void.
    cleared_at: Option<Time>,
    /// The end of its last refusal.
    refused_until: Option<Time>,
    sharing: share::State,
}

impl Entry {
    fn last_blame(&self) -> Option<Time> {
        self.blames.values().map(|blame| blame.at).max()
    }

    fn is_refused(&self, now: Time) -> bool {
        self.refused_until.is_some_and(|until| now < until)
    }

    /// Returns for how many subjects it counts.
    fn weight(&self) -> usize {
        1 + self.parts.len() / PARTS_PER_SUBJECT
    }

    /// Returns whether it says no more than that one endpoint ended under the subject, and only here.
    fn is_faint(&self) -> bool {
        let is_known = self.refused_until.is_some() || self.sharing.is_logged();
        self.blames.len() <= 1 && !is_known && !self.is_silent
    }

    /// Returns when nothing of it matters any more.
    fn expires_at(&self) -> Time {
        let refused = self.refused_until.map(|until| until + PAROLE_TIME);
        let blamed = self.last_blame().max(self.cleared_at);
        let blamed = blamed.map(|at| at + BLAME_RETENTION);
        refused.max(blamed).unwrap_or_default()
    }
}

/// An answer that was complete before it showed that its content is harmless.
#[derive(Debug)]
struct ShortAnswer {
    suspects: Suspects,
    life: Life,
    proven_at: Time,
}

/// The evidence that one daemon has.
#[derive(Debug)]
pub struct Evidence {
    entries: IndexMap<Subject, Entry>,
    /// What is left of subjects that one endpoint ended under, and for which there was no room.
    traces: Traces,
    /// The parts under which several endpoints ended; none since that has changed.
    trials: OnceCell<IndexSet<id::Name>>,
    /// How often something was refused.
    refusals: u64,
    short_answers: Vec<ShortAnswer>,
    unanswered: Vec<Unanswered>,
    /// When verdicts may change; none while no blame is new.
    next_verdict: Option<Time>,
    /// Whether anything was refused, also if it is over.
    has_refused: bool,
    /// Spreads what daemons write when all of them know it.
    seed: u64,
}

impl Evidence {
    /// Makes the evidence of a daemon that knows none.
    pub fn new(daemon: &id::Daemon) -> Self {
        let mut hasher = DefaultHasher::new();
        daemon.hash(&mut hasher);
        Self {
            entries: IndexMap::new(),
            traces: Traces::default(),
            trials: OnceCell::new(),
            refusals: 0,
            short_answers: Vec::new(),
            unanswered: Vec::new(),
            next_verdict: None,
            has_refused: false,
            seed: hasher.finish(),
        }
    }

    /// Returns the number of subjects.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether there are no subjects.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Records that an endpoint ended while it ran a request, whose answer had just begun or had not.
    pub fn blame(&mut self, suspects: &Suspects, life: &Life, has_begun: bool, now: Time) {
        let blame = Blame { at: now, has_begun };
        self.blame_subjects(suspects, life, blame);
        // The fatal answer may have been so short that it was complete before the endpoint ended.
        let is_here = |answer: &mut ShortAnswer| answer.life == *life;
        let short: Vec<ShortAnswer> = self.short_answers.extract_if(.., is_here).collect();
        for answer in short.iter().filter(|answer| now < answer.proven_at) {
            let has_begun = true;
            self.blame_subjects(&answer.suspects, life, Blame { at: now, has_begun });
        }
        self.evict(now);
    }

    fn blame_subjects(&mut self, suspects: &Suspects, life: &Life, blame: Blame) {
        self.trials.take();
        for (subject, depth) in suspects.subjects() {
            let traces = &mut self.traces;
            let entry = self.entries.entry(subject);
            let entry = entry.or_insert_with_key(|subject| traces.take(subject));
            entry.depth = depth.max(entry.depth);
            if depth == 0 {
                entry.parts.clone_from(&suspects.parts);
            }
            let known = *entry.blames.entry(life.clone()).or_insert(blame);
            let has_begun = known.has_begun || blame.has_begun;
            entry
                .blames
                .insert(life.clone(), Blame { has_begun, ..blame });
            if entry.blames.len() > MAX_LIVES {
                entry.blames.shift_remove_index(0);
            }
        }
        self.expect_verdict(blame.at + verdict::SETTLE_TIME);
    }

    /// Records an answer that began at `began` and is complete.
    pub fn answered(&mut self, suspects: Suspects, life: Life, began: Time, now: Time) {
        if suspects.parts.is_empty() || now >= began + PROOF_TIME {
            return self.clear(&suspects, &life.service, now);
        }
        let proven_at = began + PROOF_TIME;
        self.short_answers.push(ShortAnswer {
            suspects,
            life,
            proven_at,
        });
    }

    /// Voids the blames at one service, since one of its endpoints has been answering for a while.
    pub fn clear(&mut self, suspects: &Suspects, service: &id::Pool, now: Time) {
        for (subject, _) in suspects.subjects() {
            let Some(entry) = self.entries.get_mut(&subject) else {
                self.traces.clear(&subject, service);
                continue;
            };
            self.trials.take();
            entry.blames.retain(|life, _| life.service != *service);
            if entry.blames.is_empty() {
                entry.cleared_at = Some(now);
                entry.is_silent = false;
                entry.refused_until = None;
                entry.sharing.withdraw(now);
                // What it explained may have another cause.
                self.next_verdict.get_or_insert(now);
            }
        }
    }

    /// Returns whether a request shares something with one under which an endpoint ended.
    pub fn is_suspect(&self, suspects: &Suspects) -> bool {
        let is_blamed = |(subject, _)| {
            let entry = self.entries.get(&subject);
            let is_blamed = entry.is_some_and(|entry| !entry.blames.is_empty());
            is_blamed || self.traces.has(&subject)
        };
        !self.entries.is_empty() && suspects.subjects().any(is_blamed)
    }

    /// Returns the parts of a request under which several endpoints ended, and which may be refused soon.
    pub fn trials(&self, suspects: &Suspects) -> Vec<id::Name> {
        let on_trial = self.trials.get_or_init(|| self.find_trials());
        if on_trial.is_empty() {
            return Vec::new();
        }
        let parts = suspects.parts.iter();
        parts
            .filter(|part| on_trial.contains(*part))
            .cloned()
            .collect()
    }

    fn find_trials(&self) -> IndexSet<id::Name> {
        let part = |(subject, entry): (&Subject, &Entry)| match subject {
            Subject::Part(part) if entry.blames.len() >= MIN_TRIAL_BLAMES => Some(part.clone()),
            _ => None,
        };
        self.entries.iter().filter_map(part).collect()
    }

    /// Returns for how long a request is refused, if it is.
    pub fn refusal(&self, suspects: &Suspects, now: Time) -> Option<Duration> {
        if !self.has_refused {
            return None;
        }
        let refused = suspects.subjects().filter_map(|(subject, _)| {
            let until = self.entries.get(&subject)?.refused_until?;
            (now < until).then(|| until.saturating_sub(now))
        });
        refused.max()
    }

    /// Returns whether anything may be refused.
    pub fn has_refused(&self) -> bool {
        self.has_refused
    }

    /// Returns how often something was refused: what was not refused before is not, as long as this does not change.
    pub fn refusals(&self) -> u64 {
        self.refusals
    }

    /// Decides what is refused, if anything has changed; returns what was not refused before.
    pub fn update(&mut self, now: Time) -> Option<Vec<Subject>> {
        self.clear_short_answers(now);
        if self.next_verdict.is_none_or(|at| now < at) {
            return None;
        }
        self.next_verdict = None;
        let newest = self.entries.values().filter_map(Entry::last_blame).max();
        if let Some(settles_at) = newest.map(|at| at + verdict::SETTLE_TIME)
            && settles_at > now
        {
            self.expect_verdict(settles_at);
        }
        let refused = verdict::refused(&self.entries, now);
        for subject in &refused {
            if let Some(entry) = self.entries.get_mut(subject) {
                let last = entry.last_blame().unwrap_or(now);
                entry.refused_until = Some(last + REFUSAL_TIME);
                self.has_refused = true;
                self.refusals += 1;
            }
        }
        self.schedule_writes(now);
        Some(refused)
    }

    fn expect_verdict(&mut self, at: Time) {
        self.next_verdict = Some(self.next_verdict.map_or(at, |next| next.min(at)));
    }

    fn clear_short_answers(&mut self, now: Time) {
        if self.short_answers.is_empty() {
            return;
        }
        let is_proven = |answer: &mut ShortAnswer| now >= answer.proven_at;
        let proven: Vec<ShortAnswer> = self.short_answers.extract_if(.., is_proven).collect();
        for answer in proven {
            self.clear(&answer.suspects, &answer.life.service, now);
        }
    }

    /// Makes room above the limit: drops what has expired, leaves traces of what one endpoint ended under, the oldest
    /// first, and drops what was blamed least if that is not enough.
    fn evict(&mut self, now: Time) {
        if self.weight() <= MAX_SUBJECTS {
            return;
        }
        self.entries.retain(|_, entry| now < entry.expires_at());
        let excess = self.weight().saturating_sub(KEPT_SUBJECTS);
        let faint = self.lowest(excess, Entry::is_faint, Entry::last_blame);
        for (subject, entry) in self.remove(&faint) {
            self.traces.add(&subject, &entry);
        }
        let excess = self.weight().saturating_sub(MAX_SHARED_SUBJECTS);
        let rank = |entry: &Entry| {
            let is_refused = entry.is_refused(now);
            (is_refused, entry.blames.len(), entry.last_blame())
        };
        let least = self.lowest(excess, |_| true, rank);
        drop(self.remove(&least));
    }

    fn weight(&self) -> usize {
        self.entries.values().map(Entry::weight).sum()
    }

    /// Returns the indexes of the entries of the lowest rank that weigh so much together.
    fn lowest<R: Ord>(
        &self,
        weight: usize,
        is_candidate: impl Fn(&Entry) -> bool,
        rank: impl Fn(&Entry) -> R,
    ) -> IndexSet<usize> {
        if weight == 0 {
            return IndexSet::new();
        }
        let entries = self.entries.values().enumerate();
        let candidates = entries.filter(|(_, entry)| is_candidate(entry));
        let mut candidates: Vec<(R, usize, usize)> = candidates
            .map(|(index, entry)| (rank(entry), index, entry.weight()))
            .collect();
        candidates.sort_unstable();
        let mut left = weight;
        let mut is_needed = |weight: usize| {
            let is_needed = left > 0;
            left = left.saturating_sub(weight);
            is_needed
        };
        let candidates = candidates.into_iter();
        candidates
            .take_while(|(.., weight)| is_needed(*weight))
            .map(|(_, index, _)| index)
            .collect()
    }

    /// Removes the entries at some indexes.
    fn remove(&mut self, indexes: &IndexSet<usize>) -> Vec<(Subject, Entry)> {
        if indexes.is_empty() {
            return Vec::new();
        }
        self.trials.take();
        let entries = std::mem::take(&mut self.entries).into_iter().enumerate();
        let (removed, kept): (Vec<_>, Vec<_>) =
            entries.partition(|(index, _)| indexes.contains(index));
        self.entries = kept.into_iter().map(|(_, entry)| entry).collect();
        removed.into_iter().map(|(_, entry)| entry).collect()
    }

    /// Returns the endpoints that ended under a subject.
    pub fn endpoints(&self, subject: &Subject) -> IndexSet<id::Endpoint> {
        let entry = self.entries.get(subject).into_iter();
        let lives = entry.flat_map(|entry| entry.blames.keys());
        lives.map(|life| life.endpoint.clone()).collect()
    }
}

pub use share::Record;
pub use silence::Listing;
use silence::Unanswered;
use trace::Traces;

#[cfg(test)]
mod tests;
