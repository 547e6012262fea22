//! Seeded histories of engines that end when they begin an answer on a fatal prompt part, and for their
//! own reasons: how many requests with the part reach engines, and how many sound ones are served.

use rand::seq::{IndexedRandom, IteratorRandom};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::*;
use crate::quarantine::evidence::{PROOF_TIME, Record};

/// The time between two steps.
const STEP: Duration = Duration::from_millis(10);
const LENGTH: Duration = Duration::from_secs(24);
/// When requests with a fatal part begin to come.
const FATAL_AT: Duration = Duration::from_secs(3);
/// How long after the fifth end the requests with the part are counted, and twice that the sound ones.
const WINDOW: Duration = Duration::from_secs(4);
/// The requests with the part that may reach engines after the window.
const MAX_LATE: usize = 3;
/// How long it takes until another daemon has read a record.
const LOG_DELAY: Duration = Duration::from_millis(40);
/// How long it takes until an engine that ended is no longer listed.
const LEASE: Duration = Duration::from_millis(2_500);
/// Seeds that have failed: harmless parts after a fatal one were refused for it, since engines were so busy
/// that some of them were at as many ends.
const FOUND_SEEDS: [u64; 4] = [73, 146, 353, 421];
/// The seeds of a run, those of long prompts, and the variable that sets another number.
const SEEDS: u64 = 12;
const LONG_SEEDS: u64 = 4;
const SEEDS_VARIABLE: &str = "CYCLAMENRILL_TEST_SEEDS";

/// The shape of one history.
#[derive(Debug)]
struct Shape {
    regions: usize,
    engines: usize,
    /// First parts, and parts after them, of sound requests.
    firsts: usize,
    seconds: usize,
    sound_per_s: f64,
    fatal_per_s: f64,
    /// Where the fatal part stands: 0 for the first part.
    fatal_place: usize,
    fatal_parts: usize,
    /// Engines that end for their own reasons.
    ends_per_s: f64,
    /// When a third of the engines end together.
    mass_end: Option<Time>,
    /// When each region gets a new planner, which knows what the log has.
    takeovers: Vec<Time>,
    /// Further shared parts of each prompt, which are drawn from a pool.
    more: usize,
    pool: usize,
}

impl Shape {
    fn new(rng: &mut ChaCha8Rng) -> Self {
        let at = |rng: &mut ChaCha8Rng| FATAL_AT + ms(rng.random_range(0..8_000));
        Self {
            regions: rng.random_range(1..=2),
            engines: rng.random_range(6..=30),
            firsts: rng.random_range(2..=8),
            seconds: rng.random_range(8..=100),
            sound_per_s: rng.random_range(15.0..150.0),
            fatal_per_s: rng.random_range(0.5..12.0),
            fatal_place: rng.random_range(0..=1),
            fatal_parts: if rng.random_bool(0.25) { 2 } else { 1 },
            ends_per_s: rng.random_range(0.0..0.3),
            mass_end: rng.random_bool(0.3).then(|| at(rng)),
            takeovers: (0..rng.random_range(0..3)).map(|_| at(rng)).collect(),
            more: 0,
            pool: 0,
        }
    }

    /// Prompts of up to some hundred shared parts, with one fatal part at any place.
    fn of_long_prompts(rng: &mut ChaCha8Rng) -> Self {
        let more = rng.random_range(30..=300);
        Self {
            sound_per_s: rng.random_range(9.0..60.0),
            fatal_per_s: rng.random_range(0.5..4.0),
            fatal_place: rng.random_range(0..=more),
            fatal_parts: 1,
            more,
            pool: more * rng.random_range(2..=12),
            ..Self::new(rng)
        }
    }
}

/// A request that has no engine yet.
struct Waiting {
    came_at: Time,
    fatal: Option<usize>,
    /// Whether it is sound and shares its first part with fatal ones.
    is_beside: bool,
    tries: u32,
}

/// A request that is at an engine.
struct Running {
    region: usize,
    job_id: JobId,
    endpoint: id::Endpoint,
    begins_at: Time,
    ends_at: Time,
    fatal: Option<usize>,
    has_begun: bool,
    is_proven: bool,
    is_watched: bool,
}

/// A request with a fatal part that has reached an engine.
struct Reached {
    part: usize,
    sent_at: Time,
}

struct World {
    rng: ChaCha8Rng,
    shape: Shape,
    now: Time,
    sites: Vec<Site>,
    /// Engines that listen.
    alive: IndexMap<id::Endpoint, usize>,
    /// When ended engines are no longer listed, and others start.
    removals: Vec<(Time, usize, id::Endpoint)>,
    starts: Vec<(Time, usize)>,
    waiting: IndexMap<(usize, JobId), Waiting>,
    running: Vec<Running>,
    /// Ends that planners will hear of.
    reports: Vec<(Time, usize, JobId, Verdict)>,
    /// Records on their way to the other daemons.
    records: Vec<(Time, usize, Record)>,
    log: IndexMap<String, (Time, Record)>,
    reached: Vec<Reached>,
    /// When fatal parts ended engines.
    ends: Vec<Vec<Time>>,
    /// Sound requests with the first part of a fatal one: when they came, and whether they were granted.
    sound: Vec<(Time, bool)>,
    next_engine: usize,
}

fn engine(id: &str, zone: &str) -> Endpoint {
    endpoint(id, "model", zone)
}

impl World {
    fn new(seed: u64, shape: fn(&mut ChaCha8Rng) -> Shape) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let shape = shape(&mut rng);
        let sites = (0..shape.regions).map(|_| Site::new(&[], &[]));
        let ends = vec![Vec::new(); shape.fatal_parts];
        let mut world = Self {
            sites: sites.collect(),
            rng,
            now: ms(0),
            alive: IndexMap::new(),
            removals: Vec::new(),
            starts: Vec::new(),
            waiting: IndexMap::new(),
            running: Vec::new(),
            reports: Vec::new(),
            records: Vec::new(),
            log: IndexMap::new(),
            reached: Vec::new(),
            ends,
            sound: Vec::new(),
            next_engine: 0,
            shape,
        };
        for region in 0..world.shape.regions {
            for _ in 0..world.shape.engines {
                world.start_engine(region);
            }
        }
        world
    }

    fn start_engine(&mut self, region: usize) {
        let id = format!("e{}", self.next_engine);
        self.next_engine += 1;
        self.alive.insert(id.as_str().into(), region);
        self.sites[region].now = self.now;
        self.sites[region].change(engine(&id, "a"));
    }

    fn end_engine(&mut self, id: &id::Endpoint) {
        let Some(region) = self.alive.shift_remove(id) else {
            return;
        };
        let is_here = |running: &mut Running| running.endpoint == *id;
        let now = self.now;
        let broken: Vec<Running> = self.running.extract_if(.., is_here).collect();
        for running in broken {
            let verdict = match (running.has_begun, running.is_proven) {
                (_, true) => Verdict::Lost,
                (true, false) => Verdict::Crashed,
                (false, false) => Verdict::Dropped,
            };
            let heard_at = now + ms(self.rng.random_range(0..25));
            let report = (heard_at, running.region, running.job_id, verdict);
            self.reports.push(report);
        }
        self.removals.push((now + LEASE, region, id.clone()));
        let restart = ms(self.rng.random_range(1_000..5_000));
        self.starts.push((now + restart, region));
    }

    fn prompt(&mut self, fatal: Option<usize>) -> Vec<PromptPart> {
        let first = self.rng.random_range(0..self.shape.firsts);
        let second = self.rng.random_range(0..self.shape.seconds);
        let own: u64 = self.rng.random();
        if self.shape.more > 0 {
            return self.long_prompt(first, own, fatal);
        }
        let (first, second) = match fatal {
            Some(part) if self.shape.fatal_place == 0 => {
                (format!("bad{part}"), format!("s{second}"))
            }
            // Both fatal parts stand after the same first part.
            Some(part) => ("f0".to_owned(), format!("bad{part}")),
            None => (format!("f{first}"), format!("s{second}")),
        };
        let part = |id: String| PromptPart {
            id: id.as_str().into(),
            tokens: 100,
        };
        [first, second, format!("own{own}")].map(part).into()
    }

    /// Returns a prompt of many shared parts, all different, in the order of the pool or any other.
    fn long_prompt(&mut self, first: usize, own: u64, fatal: Option<usize>) -> Vec<PromptPart> {
        let Shape {
            more,
            pool,
            fatal_place,
            ..
        } = self.shape;
        let start = self.rng.random_range(0..pool);
        let step = [1, 7, 11][self.rng.random_range(0..3)];
        let others = (0..more).map(|place| format!("o{}", (start + place * step) % pool));
        let mut ids: Vec<String> = std::iter::once(format!("f{first}")).chain(others).collect();
        if let Some(part) = fatal {
            ids[fatal_place] = format!("bad{part}");
        }
        ids.push(format!("own{own}"));
        let part = |id: String| PromptPart {
            id: id.as_str().into(),
            tokens: 1,
        };
        ids.into_iter().map(part).collect()
    }

    fn submit(&mut self, fatal: Option<usize>) {
        let region = self.rng.random_range(0..self.shape.regions);
        let prompt_parts = self.prompt(fatal);
        // All prompts share parts if they are long.
        let is_beside = fatal.is_none() && (self.shape.more > 0 || &*prompt_parts[0].id == "f0");
        let site = &mut self.sites[region];
        site.now = self.now;
        let mut job = site.job(&[], 2_000);
        job.digest = prompt_parts[prompt_parts.len() - 1].id.clone();
        job.prompt_parts = prompt_parts;
        let job_id = site.submit(job);
        let waiting = Waiting {
            came_at: self.now,
            fatal,
            is_beside,
            tries: 0,
        };
        self.waiting.insert((region, job_id), waiting);
        self.follow(region);
    }

    /// Follows what a planner has decided.
    fn follow(&mut self, region: usize) {
        loop {
            let actions = self.sites[region].actions();
            for (job_id, _) in refusals(&actions) {
                let refused = self.waiting.swap_remove(&(region, job_id));
                let beside = refused.filter(|waiting| waiting.is_beside);
                self.sound
                    .extend(beside.map(|waiting| (waiting.came_at, false)));
            }
            let granted = grants(&actions);
            if granted.is_empty() {
                return;
            }
            for (job_id, grant) in granted {
                self.send(region, job_id, grant);
            }
        }
    }

    /// Sends a request to its engine; asks for another one if that does not listen.
    fn send(&mut self, region: usize, job_id: JobId, grant: Grant) {
        let Some(waiting) = self.waiting.get_mut(&(region, job_id)) else {
            return;
        };
        let planner = &mut self.sites[region].planner;
        if !self.alive.contains_key(&grant.endpoint) {
            waiting.tries += 1;
            planner.ended(job_id, Verdict::Lost, self.now);
            if waiting.tries < 5 {
                planner.retry(job_id, false, None, self.now);
            } else {
                planner.remove(job_id, self.now);
                self.waiting.swap_remove(&(region, job_id));
            }
            return;
        }
        let Waiting {
            came_at,
            fatal,
            is_beside,
            ..
        } = *waiting;
        self.waiting.swap_remove(&(region, job_id));
        let sent_at = self.now;
        self.reached
            .extend(fatal.map(|part| Reached { part, sent_at }));
        self.sound.extend(is_beside.then_some((came_at, true)));
        let begins_at = self.now + ms(self.rng.random_range(40..200));
        let length = if fatal.is_some() {
            self.rng.random_range(36..72)
        } else {
            self.rng.random_range(30..2_500)
        };
        self.running.push(Running {
            region,
            job_id,
            endpoint: grant.endpoint,
            begins_at,
            ends_at: begins_at + ms(length),
            fatal,
            has_begun: false,
            is_proven: false,
            is_watched: grant.is_watched,
        });
    }

    fn run_requests(&mut self) {
        let now = self.now;
        let mut fatal = Vec::new();
        for running in &mut self.running {
            let planner = &mut self.sites[running.region].planner;
            if now >= running.begins_at && !running.has_begun {
                running.has_begun = true;
                planner.started(running.job_id, false, now);
            }
            if now >= running.begins_at + PROOF_TIME && !running.is_proven {
                running.is_proven = true;
                if running.is_watched {
                    planner.answering(running.job_id, now);
                }
            }
            if now >= running.ends_at
                && let Some(part) = running.fatal
            {
                fatal.push((running.endpoint.clone(), part));
            }
        }
        for (endpoint, part) in fatal {
            if self.alive.contains_key(&endpoint) {
                self.ends[part].push(now);
            }
            self.end_engine(&endpoint);
        }
        let is_done = |running: &mut Running| now >= running.ends_at;
        for done in self.running.extract_if(.., is_done) {
            let planner = &mut self.sites[done.region].planner;
            planner.ended(done.job_id, Verdict::Good, now);
            planner.remove(done.job_id, now);
        }
    }

    fn change_engines(&mut self) {
        let now = self.now;
        let step = STEP.as_secs_f64();
        if self.rng.random_bool(self.shape.ends_per_s * step)
            && let Some(id) = self.alive.keys().choose(&mut self.rng).cloned()
        {
            self.end_engine(&id);
        }
        if self.shape.mass_end.take_if(|at| now >= *at).is_some() {
            let all: Vec<id::Endpoint> = self.alive.keys().cloned().collect();
            for id in all.sample(&mut self.rng, all.len() / 3) {
                self.end_engine(id);
            }
        }
        for (_, region, id) in self.removals.extract_if(.., |(at, ..)| now >= *at) {
            let site = &mut self.sites[region];
            let removed = super::super::super::registry::Entry::Removed(id);
            site.registry.apply(removed, now);
            site.planner.sync(&site.registry, &site.catalog, now);
        }
        let starts: Vec<usize> = self
            .starts
            .extract_if(.., |(at, _)| now >= *at)
            .map(|(_, region)| region)
            .collect();
        for region in starts {
            self.start_engine(region);
        }
    }

    fn share(&mut self) {
        let now = self.now;
        for (region, site) in self.sites.iter().enumerate() {
            for record in site.planner.quarantine.take_unsent(now) {
                let key = format!("{:?}", record.subject);
                self.log.insert(key, (now, record.clone()));
                let readers = (0..self.sites.len()).filter(|reader| *reader != region);
                let read_at = now + LOG_DELAY;
                self.records
                    .extend(readers.map(|reader| (read_at, reader, record.clone())));
            }
        }
        for (_, reader, record) in self.records.extract_if(.., |(at, ..)| now >= *at) {
            self.sites[reader].planner.quarantine.read(&record, now);
        }
        let due = self.shape.takeovers.extract_if(.., |at| now >= *at);
        if due.count() > 0 {
            self.take_over();
        }
    }

    /// Replaces all planners by new ones, which have read the log; their requests are gone.
    fn take_over(&mut self) {
        let now = self.now;
        self.waiting.clear();
        self.running.clear();
        self.reports.clear();
        for site in &mut self.sites {
            site.planner = Planner::new(vec!["a".into(), "b".into()], knowledge());
            site.planner.sync(&site.registry, &site.catalog, now);
            for (written_at, record) in self.log.values() {
                let mut record = record.clone();
                for (_, age) in &mut record.blames {
                    *age += now.saturating_sub(*written_at);
                }
                site.planner.quarantine.read(&record, now);
            }
        }
    }

    fn step(&mut self) {
        let step = STEP.as_secs_f64();
        self.change_engines();
        self.run_requests();
        let now = self.now;
        let heard: Vec<(usize, JobId, Verdict)> = self
            .reports
            .extract_if(.., |(at, ..)| now >= *at)
            .map(|(_, region, job_id, verdict)| (region, job_id, verdict))
            .collect();
        for (region, job_id, verdict) in heard {
            let planner = &mut self.sites[region].planner;
            planner.ended(job_id, verdict, now);
            planner.remove(job_id, now);
        }
        self.share();
        if self
            .rng
            .random_bool((self.shape.sound_per_s * step).min(1.0))
        {
            self.submit(None);
        }
        if now >= FATAL_AT && self.rng.random_bool(self.shape.fatal_per_s * step) {
            let part = self.rng.random_range(0..self.shape.fatal_parts);
            self.submit(Some(part));
        }
        for region in 0..self.sites.len() {
            self.sites[region].planner.tick(now);
            self.follow(region);
        }
        self.now += STEP;
    }

    /// Returns the requests with a part that reached engines later than the window after the fifth end.
    fn late_requests(&self, part: usize) -> usize {
        let Some(fifth) = self.ends[part].get(4) else {
            return 0;
        };
        let late = |reached: &&Reached| reached.part == part && reached.sent_at > *fifth + WINDOW;
        self.reached.iter().filter(late).count()
    }

    /// Returns the share of sound requests beside a fatal part that were granted in a span of time.
    fn served(&self, from: Time, to: Time) -> Option<f64> {
        let sound = self.sound.iter();
        let sound: Vec<bool> = sound
            .filter(|(at, _)| (from..to).contains(at))
            .map(|(_, is_granted)| *is_granted)
            .collect();
        let granted = sound.iter().filter(|is_granted| **is_granted).count();
        (sound.len() >= 20).then(|| granted as f64 / sound.len() as f64)
    }
}

impl World {
    /// Returns which bounds the history broke.
    fn failures(&self) -> impl Iterator<Item = String> {
        let parts = 0..self.shape.fatal_parts;
        let late = parts.map(|part| self.late_requests(part));
        let late = late.filter(|late| *late > MAX_LATE);
        let late = late.map(|late| format!("{late} late requests"));
        let fifth = self.ends.iter();
        let fifth = fifth.flat_map(|ends| ends.iter().take(5).next_back());
        let settled = fifth.max().copied().unwrap_or(FATAL_AT) + 2 * WINDOW;
        let before = self.served(ms(0), FATAL_AT);
        let shares = before.zip(self.served(settled, LENGTH));
        let lost = shares.filter(|(before, after)| *after < 0.5 * before);
        late.chain(lost.map(|(before, after)| format!("{after} of sound ones, {before} before")))
    }
}

fn play(seed: u64, shape: fn(&mut ChaCha8Rng) -> Shape) -> World {
    let mut world = World::new(seed, shape);
    while world.now < LENGTH {
        world.step();
    }
    world
}

/// Plays histories of some seeds; none may break a bound.
fn check(seeds: impl Iterator<Item = u64>, shape: fn(&mut ChaCha8Rng) -> Shape) {
    let mut ends = Vec::new();
    let mut failures = Vec::new();
    for seed in seeds {
        let world = play(seed, shape);
        failures.extend(
            world
                .failures()
                .map(|failure| format!("seed {seed}: {failure}")),
        );
        ends.extend(world.ends.iter().map(Vec::len));
    }
    ends.sort_unstable();
    let (median, most) = (ends[ends.len() / 2], ends[ends.len() - 1]);
    println!("engines ended by one part: median {median}, most {most}");
    assert!(failures.is_empty(), "{failures:#?}");
}

/// Returns the seeds of a run.
fn seeds(usual: u64) -> std::ops::Range<u64> {
    let seeds = std::env::var(SEEDS_VARIABLE).map_or(usual, |seeds| {
        let seeds = seeds.parse();
        seeds.expect("a number of seeds")
    });
    0..seeds
}

/// Guards against content that goes on ending engines: by a part of the prompt, two of them, in two
/// regions, over planners that take over, while engines end for their own reasons, too.
#[test]
fn crashing_parts_reach_few_engines_and_sound_ones_are_served() {
    check(seeds(SEEDS).chain(FOUND_SEEDS), Shape::new);
}

/// Guards against a fatal part that hides among many others, at any place of a long prompt.
#[test]
fn crashing_part_of_long_prompts_reaches_few_engines() {
    check(seeds(LONG_SEEDS), Shape::of_long_prompts);
}
