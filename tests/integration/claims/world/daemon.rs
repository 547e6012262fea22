//! What daemons, callers and endpoints of a world do.

use super::*;

impl World<'_> {
    /// Tells everybody who lives, and daemon 0 that it is the preferred writer.
    pub(super) fn introduce(&mut self, index: usize) {
        let role = Event::Role {
            writer: index == 0,
            rate: 200.0,
        };
        self.deliver_at(self.now, index, role);
        self.show_members();
    }

    pub(super) fn show_members(&mut self) {
        let now = self.now;
        for index in 0..self.daemons.len() {
            let seen = self.daemons.iter().enumerate();
            let members = seen
                .filter(|(other, d)| *other == index || d.missing <= now)
                .map(|(_, d)| d.name.clone())
                .collect();
            self.deliver_at(now, index, Event::Members(members));
        }
    }

    pub(super) fn step(&mut self, what: What) {
        let now = self.now;
        match what {
            What::Send {
                key,
                daemon,
                other_body,
            } => self.send(key, daemon, other_body, false),
            What::Crash(index) => self.crash(index),
            What::Pause(index, time) => {
                // Nobody carries keys forward while the preferred writer is paused.
                self.truth.is_lossy |= time > RETENTION / 4;
                self.daemons[index].paused = now + time;
            }
            What::Outage(time) => self.outage = now + time,
            What::StaleReads(time) => self.stale = now + time,
            What::Append(fault) => self.appends.push(fault),
            What::Run(fault) => self.runs.push(fault),
            What::Cut(index, time) => self.daemons[index].cut = now + time,
            What::Missing(index, time) => {
                self.truth.is_lossy = true;
                self.daemons[index].missing = now + time;
                self.show_members();
            }
            What::Nothing => self.show_members(),
        }
    }

    fn crash(&mut self, index: usize) {
        self.truth.is_lossy = true;
        self.daemons[index] = self.daemon();
        self.introduce(index);
    }

    /// Ends all faults.
    pub(super) fn heal(&mut self) {
        self.outage = Duration::ZERO;
        self.stale = Duration::ZERO;
        self.appends.clear();
        self.runs.clear();
        for daemon in &mut self.daemons {
            daemon.missing = Duration::ZERO;
            daemon.cut = Duration::ZERO;
            daemon.paused = Duration::ZERO;
        }
        self.show_members();
    }

    /// Asks for every key once more.
    pub(super) fn probe(&mut self) {
        for key in 0..KEYS {
            self.send(key, key % DAEMONS, false, true);
        }
    }

    fn send(&mut self, key: usize, daemon: usize, other_body: bool, is_probe: bool) {
        let request = uuid::Builder::from_random_bytes(self.rng.random()).into_uuid();
        self.order += 1;
        let op = Op {
            key,
            other_body,
            called: self.order,
            told: None,
            is_probe,
        };
        self.truth.ops.insert(request, op);
        if self.now < self.daemons[daemon].paused {
            // The caller reaches nobody and is never answered.
            return;
        }
        let claim = Claim {
            workspace: "w".into(),
            key: self.keys[key].clone(),
            digest: if other_body { "other" } else { "body" }.into(),
            request,
            issued: None,
            remaining: DEADLINE,
        };
        let due = self.now + DEADLINE;
        let generation = self.daemons[daemon].generation;
        self.at(due, Happening::GiveUp(daemon, generation, request));
        let mut writers = Writers::default();
        let is_direct = daemon == 0 || self.rng.random_bool(0.3);
        let is_cut = self.now < self.daemons[daemon].cut.max(self.daemons[0].cut);
        if !is_direct {
            writers.sent(&self.daemons[0].name);
        }
        let waiting = Awaiting {
            claim: claim.clone(),
            due,
            writers,
        };
        self.daemons[daemon].awaiting.insert(request, waiting);
        if is_direct {
            let name = self.daemons[daemon].name.clone();
            self.deliver_at(self.now, daemon, Event::Claim(claim, name));
            return;
        }
        if !is_cut {
            let at = self.now + self.latency();
            self.at(
                at,
                Happening::Message(0, Box::new(claim), daemon, generation),
            );
        }
        let at = self.now + WRITER_PATIENCE;
        self.at(at, Happening::Impatient(daemon, generation, request));
    }

    /// Another daemon asks this one, which it takes for the preferred writer.
    pub(super) fn message(&mut self, daemon: usize, claim: Claim, from: usize, generation: u64) {
        let paused = self.daemons[daemon].paused;
        if self.now < paused {
            return self.at(
                paused,
                Happening::Message(daemon, Box::new(claim), from, generation),
            );
        }
        let hosted = (from, generation);
        self.daemons[daemon].hosted.insert(claim.request, hosted);
        let name = self.daemons[from].name.clone();
        if self.lives(from, generation) {
            self.step_stream(daemon, Event::Claim(claim, name));
        }
    }

    pub(super) fn decide(&mut self, daemon: usize, request: id::Request, decision: Decision) {
        let Some((to, generation)) = self.daemons[daemon].hosted.swap_remove(&request) else {
            let by = self.daemons[daemon].name.to_string();
            return self.told(daemon, request, decision, Some(by));
        };
        if self.now >= self.daemons[daemon].cut.max(self.daemons[to].cut) {
            let at = self.now + self.latency();
            let by = Some(self.daemons[daemon].name.to_string());
            self.at(at, Happening::Told(to, generation, request, decision, by));
        }
    }

    /// The preferred writer did not answer in time: the daemon decides for itself.
    pub(super) fn impatient(&mut self, daemon: usize, generation: u64, request: id::Request) {
        let again = Happening::Impatient(daemon, generation, request);
        if !self.runs(daemon, generation, again) {
            return;
        }
        let name = self.daemons[daemon].name.clone();
        let now = self.now;
        let waiting = self.daemons[daemon].awaiting.get_mut(&request);
        if let Some(waiting) = waiting {
            waiting.writers.sent(&name);
            let mut claim = waiting.claim.clone();
            claim.remaining = waiting.due.saturating_sub(now);
            self.step_stream(daemon, Event::Claim(claim, name));
        }
    }

    pub(super) fn give_up(&mut self, daemon: usize, generation: u64, request: id::Request) {
        let again = Happening::GiveUp(daemon, generation, request);
        if self.runs(daemon, generation, again) {
            let verdict = Verdict::NotRun {
                reason: String::new(),
                retry_after: None,
            };
            let decision = Decision {
                verdict,
                is_in_doubt: true,
            };
            self.told(daemon, request, decision, None);
        }
    }

    /// The daemon that has the caller learns the verdict; only the first one counts.
    pub(super) fn told(
        &mut self,
        daemon: usize,
        request: id::Request,
        decision: Decision,
        by: Option<String>,
    ) {
        let paused = self.daemons[daemon].paused;
        let generation = self.daemons[daemon].generation;
        if self.now < paused {
            let later = Happening::Told(daemon, generation, request, decision, by);
            return self.at(paused, later);
        }
        let Some(mut waiting) = self.daemons[daemon].awaiting.swap_remove(&request) else {
            return;
        };
        if let Some(by) = by {
            waiting.writers.resolved(&by);
        }
        let Decision {
            verdict,
            is_in_doubt,
        } = waiting
            .writers
            .decide(decision.verdict, decision.is_in_doubt);
        let Awaiting { claim, due, .. } = waiting;
        let told = match verdict {
            Verdict::Granted => {
                self.daemons[daemon].granted.insert(request, (claim, due));
                let most = if self.options.is_calm { 2 } else { 200 };
                let at = self.now + Duration::from_millis(self.rng.random_range(0..most));
                return self.at(at, Happening::Dispatch(daemon, generation, request));
            }
            Verdict::Answered(body) => Told::Got(body.to_string()),
            Verdict::Resume(parts) => Told::Got(parts[0].body.to_string()),
            Verdict::Conflict => Told::Conflict,
            Verdict::Unknown => Told::Unknown,
            Verdict::NotRun { .. } => Told::NotRun,
        };
        if is_in_doubt {
            self.step_stream(daemon, Event::Abandon(Box::new(claim)));
        }
        self.tell(request, told);
    }

    fn tell(&mut self, request: id::Request, told: Told) {
        self.order += 1;
        let at = self.order;
        if let Some(op) = self.truth.ops.get_mut(&request) {
            op.told = Some((at, told));
        }
    }

    /// The granted request is sent to an endpoint, unless its deadline passed.
    pub(super) fn dispatch(&mut self, daemon: usize, generation: u64, request: id::Request) {
        let again = Happening::Dispatch(daemon, generation, request);
        if !self.runs(daemon, generation, again) {
            return;
        }
        let due = self.daemons[daemon].granted[&request].1;
        let run = if self.now >= due {
            Run::Refused
        } else {
            self.runs.pop().unwrap_or(Run::Slow)
        };
        let has_run = !matches!(run, Run::Refused | Run::LostBefore);
        if has_run {
            self.execute(request);
        }
        let time = Duration::from_millis(self.rng.random_range(1..400));
        let at = self.now + time;
        self.at(
            at,
            Happening::Return(daemon, generation, request, run, has_run),
        );
    }

    fn execute(&mut self, request: id::Request) -> String {
        let key = self.truth.ops[&request].key;
        let result = format!("\"{key}/{}\"", self.truth.runs.len());
        self.truth.runs.push((key, request, result.clone()));
        result
    }

    pub(super) fn returned(
        &mut self,
        daemon: usize,
        generation: u64,
        request: id::Request,
        run: Run,
        has_run: bool,
    ) {
        let again = Happening::Return(daemon, generation, request, run, has_run);
        if !self.runs(daemon, generation, again) {
            return;
        }
        let own = |(_, by, _): &&(usize, id::Request, String)| *by == request;
        let result = self.truth.runs.iter().rev().find(own).map(|r| r.2.clone());
        let is_lost = matches!(run, Run::LostAfter | Run::LostBefore);
        if is_lost && self.options.retries_after_byte {
            let result = self.execute(request);
            return self.end(daemon, request, Told::Ran(result.clone()), whole(&result));
        }
        let (told, outcome) = match (run, result) {
            (Run::Refused, _) | (_, None) if !is_lost => (Told::NotRun, Outcome::Released),
            (Run::Partial, Some(result)) => (Told::Ran(result.clone()), part(&result)),
            (Run::Slow, Some(result)) => (Told::Ran(result.clone()), whole(&result)),
            _ => {
                self.truth.is_lossy = true;
                (Told::Unknown, Outcome::Unknown)
            }
        };
        self.end(daemon, request, told, outcome);
    }

    /// Tells the caller and records the outcome, through the writer or here, perhaps twice.
    fn end(&mut self, daemon: usize, request: id::Request, told: Told, outcome: Outcome) {
        let Some((claim, _)) = self.daemons[daemon].granted.swap_remove(&request) else {
            return;
        };
        self.tell(request, told);
        let settle = Event::Settle(Box::new(claim), outcome);
        let is_cut = self.now < self.daemons[daemon].cut.max(self.daemons[0].cut);
        if daemon != 0 && !is_cut && self.rng.random_bool(0.5) {
            let at = self.now + self.latency();
            self.deliver_at(at, 0, settle.clone());
            let later = self.now + WRITER_PATIENCE;
            return self.deliver_at(later, daemon, settle);
        }
        self.deliver_at(self.now, daemon, settle);
    }
}

fn whole(result: &str) -> Outcome {
    Outcome::Answered(result.into())
}

fn part(result: &str) -> Outcome {
    Outcome::Partial(vec![StageResult {
        stage: "order".into(),
        body: result.into(),
    }])
}
