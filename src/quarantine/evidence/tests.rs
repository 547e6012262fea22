use super::*;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Long enough after a blame for it to count.
const SETTLED: Duration = Duration::from_millis(150);

fn request(content: &str, parts: &[&str]) -> Suspects {
    Suspects {
        content: content.into(),
        parts: parts.iter().map(|part| (*part).into()).collect(),
    }
}

fn life(endpoint: &str) -> Life {
    Life {
        endpoint: endpoint.into(),
        born: 1,
        service: "s".into(),
    }
}

/// A daemon's evidence, with a clock.
struct Daemon {
    evidence: Evidence,
    now: Time,
    requests: usize,
}

impl Daemon {
    fn new(name: &str) -> Self {
        Self {
            evidence: Evidence::new(&name.into()),
            now: ms(1_000),
            requests: 0,
        }
    }

    /// Ends an endpoint under new requests with these parts.
    fn end(&mut self, endpoint: &str, prompts: &[&[&str]]) {
        for parts in prompts {
            self.requests += 1;
            let suspects = request(&format!("d{}", self.requests), parts);
            self.evidence
                .blame(&suspects, &life(endpoint), true, self.now);
        }
        self.now += SETTLED;
        self.evidence.update(self.now);
    }

    /// Answers a new request with these parts.
    fn answer(&mut self, parts: &[&str]) {
        let suspects = request("answered", parts);
        let began = self.now;
        self.now += PROOF_TIME;
        self.evidence
            .answered(suspects, life("other"), began, self.now);
        self.evidence.update(self.now);
    }

    fn is_refused(&self, parts: &[&str]) -> bool {
        let suspects = request("new", parts);
        self.evidence.refusal(&suspects, self.now).is_some()
    }
}

#[test]
fn part_refused_after_three_endpoints() {
    let mut daemon = Daemon::new("f");
    daemon.end("e1", &[&["a", "bad"], &["a", "c"]]);
    daemon.end("e2", &[&["a", "bad"], &["b", "d"]]);
    assert!(!daemon.is_refused(&["a", "bad"]));
    daemon.end("e3", &[&["a", "bad"]]);
    assert!(daemon.is_refused(&["a", "bad"]));
    assert!(daemon.is_refused(&["z", "bad"]), "whatever else it holds");
    for sound in [["a", "c"], ["a", "x"], ["b", "d"]] {
        assert!(!daemon.is_refused(&sound), "{sound:?}");
    }
}

#[test]
fn first_part_refused_though_the_next_ones_vary() {
    let mut daemon = Daemon::new("f");
    daemon.end("e1", &[&["bad", "c"]]);
    daemon.end("e2", &[&["bad", "d"], &["a", "c"]]);
    daemon.end("e3", &[&["bad", "x"]]);
    daemon.end("e4", &[&["bad", "y"]]);
    assert!(daemon.is_refused(&["bad", "z"]));
    assert!(!daemon.is_refused(&["a", "c"]) && !daemon.is_refused(&["a", "d"]));
}

#[test]
fn first_part_with_few_next_ones_refused_in_the_end() {
    let mut daemon = Daemon::new("f");
    for number in 0..6 {
        let next = if number % 2 == 0 { "c" } else { "d" };
        daemon.end(&format!("e{number}"), &[&["bad", next]]);
    }
    assert!(daemon.is_refused(&["bad", "c"]) && daemon.is_refused(&["bad", "d"]));
}

#[test]
fn two_guilty_parts_after_a_sound_one() {
    let mut daemon = Daemon::new("f");
    for number in 0..5 {
        let bad = ["bad1", "bad2"][number % 2];
        daemon.end(&format!("e{number}"), &[&["a", bad]]);
        assert!(!daemon.is_refused(&["a", "c"]), "after {number}");
    }
    daemon.end("e6", &[&["a", "bad2"]]);
    assert!(daemon.is_refused(&["a", "bad1"]) && daemon.is_refused(&["a", "bad2"]));
    assert!(!daemon.is_refused(&["a", "c"]));
}

#[test]
fn part_that_is_answered_is_cleared() {
    let mut daemon = Daemon::new("f");
    daemon.end("e1", &[&["a"]]);
    daemon.end("e2", &[&["a"]]);
    daemon.answer(&["a"]);
    daemon.end("e3", &[&["a"]]);
    assert!(!daemon.is_refused(&["a"]));
    daemon.end("e4", &[&["a"]]);
    daemon.end("e5", &[&["a"]]);
    assert!(daemon.is_refused(&["a"]));
    daemon.answer(&["a"]);
    assert!(!daemon.is_refused(&["a"]), "it was refused by mistake");
}

/// An answer may be complete before its endpoint ends of it.
#[test]
fn short_answer_is_no_proof_when_its_endpoint_ends() {
    let mut daemon = Daemon::new("f");
    for (endpoint, other) in [("e1", "c"), ("e2", "d"), ("e3", "x")] {
        let began = daemon.now;
        daemon.now += ms(20);
        let suspects = request(&format!("short-{other}"), &["a", "bad"]);
        let life = life(endpoint);
        daemon.evidence.answered(suspects, life, began, daemon.now);
        daemon.end(endpoint, &[&["a", other]]);
    }
    assert!(daemon.is_refused(&["z", "bad"]));
}

#[test]
fn parts_that_only_come_together_refused_together() {
    let mut daemon = Daemon::new("f");
    for endpoint in ["e1", "e2", "e3"] {
        daemon.end(endpoint, &[&["a", "bad"], &["b", "beside"]]);
    }
    assert!(daemon.is_refused(&["a", "bad"]) && daemon.is_refused(&["b", "beside"]));
}

/// Where an answer had begun, requests that still waited for theirs are no cause.
#[test]
fn requests_before_their_answer_blamed_only_without_others() {
    for (has_begun, is_refused) in [(true, false), (false, true)] {
        let mut daemon = Daemon::new("f");
        for endpoint in ["e1", "e2", "e3"] {
            let waiting = request(&format!("waiting-{endpoint}"), &["waiting"]);
            let other = request(&format!("other-{endpoint}"), &[endpoint]);
            let now = daemon.now;
            let life = life(endpoint);
            daemon.evidence.blame(&waiting, &life, false, now);
            daemon.evidence.blame(&other, &life, has_begun, now);
            daemon.end(endpoint, &[]);
        }
        assert_eq!(daemon.is_refused(&["waiting"]), is_refused);
    }
}

/// On busy endpoints a harmless part may be at the same ends as the fatal one before it.
#[test]
fn part_at_as_many_ends_by_chance_not_refused() {
    let mut daemon = Daemon::new("f");
    for number in 0..3 {
        let all: Vec<String> = (0..6).map(|part| format!("s{}", part * number)).collect();
        let mut prompts: Vec<[&str; 2]> = all.iter().map(|part| ["a", part.as_str()]).collect();
        prompts.push(["bad", "s0"]);
        let prompts: Vec<&[&str]> = prompts.iter().map(|prompt| &prompt[..]).collect();
        daemon.end(&format!("e{number}"), &prompts);
    }
    assert!(!daemon.is_refused(&["a", "s0"]));
}

#[test]
fn few_requests_at_once_with_a_part_on_trial() {
    let mut daemon = Daemon::new("f");
    let suspects = request("new", &["a", "bad"]);
    daemon.end("e1", &[&["b", "bad"]]);
    assert!(daemon.evidence.trials(&suspects).is_empty());
    daemon.end("e2", &[&["c", "bad"]]);
    assert_eq!(daemon.evidence.trials(&suspects), ["bad".into()]);
    daemon.answer(&["a", "bad"]);
    assert!(daemon.evidence.trials(&suspects).is_empty());
}

#[test]
fn endpoint_counts_once() {
    let mut daemon = Daemon::new("f");
    for _ in 0..5 {
        daemon.end("e1", &[&["a"]]);
    }
    assert!(!daemon.is_refused(&["a"]));
}

#[test]
fn content_refused_after_two_endpoints() {
    let mut daemon = Daemon::new("f");
    let content = request("same", &["a"]);
    for endpoint in ["e1", "e2"] {
        daemon
            .evidence
            .blame(&content, &life(endpoint), true, daemon.now);
        daemon.now += SETTLED;
        daemon.evidence.update(daemon.now);
    }
    assert!(daemon.evidence.refusal(&content, daemon.now).is_some());
    assert!(
        !daemon.is_refused(&["a"]),
        "others with its part are served"
    );
}

/// Guards against a part that is excused since each request with it was refused after two endpoints.
#[test]
fn part_of_requests_that_come_twice_refused() {
    let mut daemon = Daemon::new("f");
    for number in 0..4 {
        let content = request(&format!("c{}", number / 2), &["a", "bad"]);
        let life = life(&format!("e{number}"));
        daemon.evidence.blame(&content, &life, true, daemon.now);
        daemon.now += SETTLED;
        daemon.evidence.update(daemon.now);
    }
    assert!(daemon.is_refused(&["z", "bad"]));
}

/// A request that is tried again may meet the same fatal part twice.
#[test]
fn content_tried_again_beside_a_guilty_part_not_refused() {
    let mut daemon = Daemon::new("f");
    let sound = request("tried-again", &["b"]);
    for endpoint in ["e1", "e2"] {
        daemon
            .evidence
            .blame(&sound, &life(endpoint), true, daemon.now);
        daemon.end(endpoint, &[&["a", "bad"]]);
    }
    assert!(daemon.evidence.refusal(&sound, daemon.now).is_none());
}

#[test]
fn refusal_ends_and_one_endpoint_renews_it() {
    let mut daemon = Daemon::new("f");
    for endpoint in ["e1", "e2", "e3"] {
        daemon.end(endpoint, &[&["bad"]]);
    }
    daemon.now += REFUSAL_TIME;
    assert!(!daemon.is_refused(&["bad"]));
    daemon.end("e4", &[&["bad"]]);
    assert!(daemon.is_refused(&["bad"]));
}

/// Passes what one daemon writes on to another; returns the number of records.
fn pass(from: &mut Daemon, to: &mut Daemon) -> usize {
    let records = from.evidence.unsent(64, from.now);
    for record in &records {
        to.evidence.learn(record, true, to.now);
    }
    from.evidence.set_sent(&records, from.now);
    to.now += SETTLED;
    to.evidence.update(to.now);
    records.len()
}

#[test]
fn refusal_shared_and_cleared_with_others() {
    let (mut first, mut second) = (Daemon::new("f1"), Daemon::new("f2"));
    // A daemon that has just started has seen less time than has passed since.
    second.now = ms(0);
    for endpoint in ["e1", "e2", "e3"] {
        first.end(endpoint, &[&["bad"]]);
    }
    first.now += ms(60_000);
    assert_eq!(pass(&mut first, &mut second), 1);
    assert!(second.is_refused(&["bad"]));
    assert_eq!(pass(&mut first, &mut second), 0, "it is written once");
    second.answer(&["bad"]);
    pass(&mut second, &mut first);
    assert!(!first.is_refused(&["bad"]));
}

#[test]
fn endpoints_of_two_regions_add_up() {
    let (mut first, mut second) = (Daemon::new("f1"), Daemon::new("f2"));
    first.end("e1", &[&["bad"]]);
    assert_eq!(pass(&mut first, &mut second), 0, "one endpoint is not news");
    first.end("e2", &[&["bad"]]);
    assert_eq!(pass(&mut first, &mut second), 1);
    second.end("e3", &[&["bad"]]);
    assert!(second.is_refused(&["bad"]));
    pass(&mut second, &mut first);
    assert!(first.is_refused(&["bad"]));
}

/// Each daemon runs requests without a prompt alone, so no other one sees a second endpoint end.
#[test]
fn content_without_prompt_shared_at_once() {
    let (mut first, mut second) = (Daemon::new("f1"), Daemon::new("f2"));
    let content = request("same", &[]);
    for (daemon, endpoint) in [(&mut first, "e1"), (&mut second, "e2")] {
        daemon
            .evidence
            .blame(&content, &life(endpoint), true, daemon.now);
        daemon.now += SETTLED;
        daemon.evidence.update(daemon.now);
    }
    assert_eq!(pass(&mut first, &mut second), 1);
    assert!(second.evidence.refusal(&content, second.now).is_some());
}

#[test]
fn log_that_went_back_gets_refusals_again() {
    let (mut first, mut second) = (Daemon::new("f1"), Daemon::new("f2"));
    for endpoint in ["e1", "e2", "e3"] {
        first.end(endpoint, &[&["bad"]]);
    }
    pass(&mut first, &mut second);
    // The daemon that wrote it is gone; the others take turns.
    second.evidence.log_went_back(second.now);
    assert!(second.evidence.unsent(64, second.now).is_empty());
    second.now += Duration::from_secs(3);
    let mut third = Daemon::new("f3");
    assert_eq!(pass(&mut second, &mut third), 1);
    assert!(third.is_refused(&["bad"]));
}

/// Guards against a daemon that starts after a refusal and removes its record, which others still need.
#[test]
fn record_of_refusal_that_is_over_kept_for_its_parole() {
    let (mut first, mut second) = (Daemon::new("f1"), Daemon::new("f2"));
    for endpoint in ["e1", "e2", "e3"] {
        first.end(endpoint, &[&["bad"]]);
    }
    let mut records = first.evidence.unsent(64, first.now);
    for (_, age) in records.iter_mut().flat_map(|record| &mut record.blames) {
        *age += REFUSAL_TIME;
    }
    second.evidence.learn(&records[0], true, second.now);
    second.now += Duration::from_secs(3);
    assert!(second.evidence.unsent(64, second.now).is_empty());
    assert!(!second.is_refused(&["bad"]));
    second.end("e4", &[&["bad"]]);
    assert!(second.is_refused(&["bad"]));
}

/// Guards against records that stay in the log for ever.
#[test]
fn expired_evidence_removed_from_the_log() {
    let (mut first, mut second) = (Daemon::new("f1"), Daemon::new("f2"));
    let content = request("same", &[]);
    first.evidence.blame(&content, &life("e1"), true, first.now);
    first.now += SETTLED;
    first.evidence.update(first.now);
    assert_eq!(pass(&mut first, &mut second), 1);
    for daemon in [&mut first, &mut second] {
        daemon.now += BLAME_RETENTION;
        daemon.evidence.expire(daemon.now);
        daemon.now += Duration::from_secs(3);
    }
    assert_eq!(pass(&mut second, &mut first), 1, "one of them removes it");
    assert_eq!(pass(&mut first, &mut second), 0);
    for daemon in [&mut first, &mut second] {
        daemon.now += BLAME_RETENTION;
        daemon.evidence.expire(daemon.now);
        assert!(daemon.evidence.is_empty());
    }
}

#[test]
fn subjects_bounded() {
    let mut daemon = Daemon::new("f");
    for endpoint in ["e1", "e2", "e3"] {
        daemon.end(endpoint, &[&["bad"]]);
    }
    for number in 0..2 * MAX_SUBJECTS {
        let suspects = request(&format!("c{number}"), &[]);
        daemon
            .evidence
            .blame(&suspects, &life("e9"), true, daemon.now);
    }
    assert!(daemon.evidence.len() <= MAX_SUBJECTS);
    assert!(daemon.is_refused(&["bad"]));
}

/// Returns a prompt of some parts, of which one is given.
fn prompt(count: usize, place: usize, part: &str, name: &str) -> Vec<String> {
    let mut parts: Vec<String> = (0..count)
        .map(|number| format!("{name}-{number}"))
        .collect();
    parts[place] = part.to_owned();
    parts
}

fn names(prompt: &[String]) -> Vec<&str> {
    prompt.iter().map(String::as_str).collect()
}

/// Guards against a fatal part that is never refused since it stands far before the end of a long prompt.
#[test]
fn fatal_part_refused_wherever_it_stands() {
    for (count, place) in [(34, 0), (200, 0), (200, 100), (1_600, 0), (1_600, 1_599)] {
        let mut daemon = Daemon::new("f");
        for end in 0..3 {
            let fatal = prompt(count, place, "bad", &format!("o{end}"));
            let beside = format!("n{end}");
            daemon.end(&format!("e{end}"), &[&names(&fatal), &["a", &beside]]);
            daemon.answer(&["a", "z"]);
        }
        let fatal = prompt(count, place, "bad", "new");
        assert!(daemon.is_refused(&names(&fatal)), "{place} of {count}");
        let sound = prompt(count, place, "a", "o1");
        assert!(!daemon.is_refused(&names(&sound)), "{place} of {count}");
    }
}

/// Guards against parts of other requests that push out the one under which all endpoints end: at each end there are more
/// than are remembered.
#[test]
fn fatal_part_refused_beside_floods_of_others() {
    const PARTS: usize = 1_600;
    let mut daemon = Daemon::new("f");
    for end in 0..6 {
        for number in 0..20 {
            let parts = prompt(PARTS, 0, "all", &format!("o{end}x{number}"));
            let suspects = request(&format!("c{end}x{number}"), &names(&parts));
            let life = life(&format!("e{end}"));
            daemon.evidence.blame(&suspects, &life, true, daemon.now);
        }
        let fatal = prompt(PARTS, 7, "bad", &format!("f{end}"));
        daemon.end(&format!("e{end}"), &[&names(&fatal)]);
        daemon.answer(&["all"]);
        let (subjects, traces) = (daemon.evidence.len(), daemon.evidence.traces.len());
        assert!(subjects <= MAX_SUBJECTS && traces <= trace::MAX_TRACES);
    }
    assert!(daemon.evidence.traces.len() > MAX_SUBJECTS, "a flood");
    let fatal = prompt(PARTS, 7, "bad", "new");
    assert!(daemon.is_refused(&names(&fatal)));
    let sound = prompt(PARTS, 0, "all", "o3x3");
    assert!(!daemon.is_refused(&names(&sound)));
    daemon.now += BLAME_RETENTION;
    daemon.evidence.expire(daemon.now);
    assert_eq!(daemon.evidence.traces.len(), 0);
}

/// Guards against a record whose depth decides how much is allocated, or how long a verdict takes.
#[test]
fn depth_of_record_bounded() {
    let mut daemon = Daemon::new("f");
    for endpoint in ["e1", "e2", "e3"] {
        let record = Record {
            subject: Subject::Part("bad".into()),
            depth: usize::MAX,
            blames: vec![(life(endpoint), Duration::ZERO)],
            is_refused: false,
            is_silent: false,
        };
        daemon.evidence.learn(&record, true, daemon.now);
    }
    daemon.now += SETTLED;
    daemon.evidence.update(daemon.now);
    assert!(daemon.is_refused(&["bad", "z"]));
}

/// Guards against evidence that an answer clears only where there was room to remember it in full.
#[test]
fn answer_clears_traces() {
    let mut daemon = Daemon::new("f");
    let parts = prompt(MAX_SUBJECTS, 0, "a", "o");
    daemon.end("e1", &[&["old"]]);
    daemon.end("e2", &[&names(&parts)]);
    let suspects = request("new", &["old"]);
    assert!(daemon.evidence.traces.has(&Subject::Part("old".into())));
    assert!(daemon.evidence.is_suspect(&suspects));
    daemon.answer(&["old"]);
    assert!(!daemon.evidence.is_suspect(&suspects));
}
