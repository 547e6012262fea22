//! Load patterns: requests of several classes with heavy tails and bursts, from a seed.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp, LogNormal};

use crate::clock::Time;
use crate::serve::plan::{PromptPart, Stage};

event! {
    /// A size that varies by request.
    pub struct Size {
        /// The mean.
        pub mean: f64,
        /// The standard deviation of its logarithm.
        pub spread: f64,
        /// The largest value.
        pub max: f64,
    }
}

event! {
    /// A stage of a class.
    pub struct ClassStage {
        /// The stage, with the pieces of each request that has it as one.
        pub stage: Stage,
        /// The number of pieces.
        pub pieces: Size,
        /// The share of requests that have it.
        pub share: f64,
    }
}

event! {
    /// Requests of one kind.
    pub struct Class {
        /// The name.
        pub name: &'static str,
        /// The priority; 0 is the most urgent.
        pub priority: u8,
        /// The time to the first event that a request aims at.
        pub target: Duration,
        /// How long a client waits.
        pub deadline: Duration,
        /// Whether its streams may go on at another engine.
        pub is_resumable: bool,
        /// Tokens of the part that a request shares with others.
        pub shared: Size,
        /// The number of different shared parts.
        pub subjects: usize,
        /// Tokens of the part of its own.
        pub own: Size,
        /// Events of the answer.
        pub events: Size,
        /// The stages.
        pub stages: Vec<ClassStage>,
    }
}

event! {
    /// Requests of one class that arrive during some time.
    pub struct Wave {
        /// The index of the class.
        pub class: usize,
        /// Requests a second.
        pub rate: f64,
        /// From when on they arrive.
        pub from: Time,
        /// Until when they arrive.
        pub until: Time,
    }
}

event! {
    /// One request.
    pub struct Arrival {
        /// When it arrives.
        pub at: Time,
        /// The index of its class.
        pub class: usize,
        /// The parts of its prompt.
        pub parts: Vec<PromptPart>,
        /// The stages with their pieces.
        pub stages: Vec<Stage>,
        /// Events of the answer.
        pub events: u32,
    }
}

impl Size {
    /// Makes a size that does not vary.
    pub fn fixed(value: f64) -> Self {
        Self {
            mean: value,
            spread: 0.0,
            max: value,
        }
    }

    fn sample(&self, rng: &mut ChaCha8Rng) -> f64 {
        let location = self.mean.max(1e-9).ln() - self.spread * self.spread / 2.0;
        let sampled = LogNormal::new(location, self.spread).map(|size| size.sample(rng));
        sampled.map_or(self.mean, |size| size.min(self.max))
    }

    fn sample_count(&self, rng: &mut ChaCha8Rng) -> u64 {
        self.sample(rng).round().max(1.0) as u64
    }
}

/// Returns the requests of some waves, in the order of their arrival.
pub fn arrivals(classes: &[Class], waves: &[Wave], seed: u64) -> Vec<Arrival> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let subjects: Vec<Vec<u64>> = classes
        .iter()
        .map(|class| {
            let tokens = (0..class.subjects).map(|_| class.shared.sample_count(&mut rng));
            tokens.collect()
        })
        .collect();
    let mut arrivals = Vec::new();
    for wave in waves {
        let class = &classes[wave.class];
        let Ok(gaps) = Exp::new(wave.rate) else {
            continue;
        };
        let mut at = wave.from + Duration::from_secs_f64(gaps.sample(&mut rng));
        while at < wave.until {
            let subject = rng.random_range(0..class.subjects);
            let shared = PromptPart {
                id: format!("{}-{subject}", class.name).into(),
                tokens: subjects[wave.class][subject],
            };
            let own = PromptPart {
                id: format!("own-{}-{}", wave.class, at.as_nanos()).into(),
                tokens: class.own.sample_count(&mut rng),
            };
            let stages = class.stages.iter().map(|stage| {
                let is_present = rng.random_bool(stage.share);
                let pieces = stage.pieces.sample_count(&mut rng);
                Stage {
                    pieces: if is_present { pieces as usize } else { 0 },
                    ..stage.stage.clone()
                }
            });
            arrivals.push(Arrival {
                at,
                class: wave.class,
                parts: vec![shared, own],
                stages: stages.collect(),
                events: class.events.sample_count(&mut rng) as u32,
            });
            at += Duration::from_secs_f64(gaps.sample(&mut rng));
        }
    }
    arrivals.sort_by_key(|arrival| arrival.at);
    arrivals
}
