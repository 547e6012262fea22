//! One request to the callers' door of a daemon.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use serde::Deserialize;

use crate::exchange::{self, Reply as Head, Request};
use crate::id;

/// How much longer than the request's timeout the caller waits for an answer.
pub const PATIENCE: Duration = Duration::from_secs(2);
/// Bytes of an answer at most.
const MAX_ANSWER_BYTES: u64 = 64 * 1024 * 1024;

token! {
    /// What a caller knows when its request is over.
    pub enum Outcome {
        /// It has an answer.
        Answered,
        /// It was told that nothing ran.
        NotRun,
        /// It was told that it may have run.
        Unknown,
        /// It was told that it ran and failed.
        Failed,
        /// The connection broke, or no whole answer came in time.
        Cut,
        /// No byte was sent.
        NotSent,
    }
}

/// A request that is to be sent to a daemon.
#[derive(Clone, Debug)]
pub struct Submission {
    address: String,
    pipeline: String,
    key: String,
    body: String,
    timeout: Duration,
    patience: Duration,
    idempotency_key: Option<String>,
    stream: bool,
}

/// What came of a request.
#[derive(Clone, Debug)]
pub struct Reply {
    /// What the caller knows.
    pub outcome: Outcome,
    /// The HTTP status; 0 if there was none.
    pub status: u16,
    /// The id that the daemon gave the request.
    pub request: Option<id::Request>,
    /// Whether the daemon said when to send again.
    pub may_send_again: bool,
    /// The answer or the problem as JSON text, or what went wrong.
    pub text: String,
    /// What the problem says to a person.
    pub detail: Option<String>,
    /// Time to the first token, of a streamed answer.
    pub first_token: Option<Duration>,
    /// Times between tokens, of a streamed answer.
    pub gaps: Vec<Duration>,
    /// Tokens of a streamed answer, joined.
    pub tokens: String,
    /// Whether the tokens of a streamed answer were numbered without gap or repetition.
    pub is_ordered: bool,
}

/// Returns a UUIDv7 key, which carries the time of its issue; its random part is of `nonce`.
pub fn idempotency_key(nonce: u128) -> String {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    let millis = now.map_or(0, |d| u64::try_from(d.as_millis()).unwrap_or(u64::MAX));
    let bytes = nonce.to_be_bytes();
    let mut random = [0; 10];
    random.copy_from_slice(&bytes[..10]);
    let builder = uuid::Builder::from_unix_timestamp_millis(millis, &random);
    builder.into_uuid().to_string()
}

/// The part of a problem that a caller acts on.
#[derive(Deserialize)]
struct Problem {
    verdict: Verdict,
    detail: Option<String>,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
enum Verdict {
    NotRun,
    Unknown,
    Failed,
}

impl Submission {
    /// Starts a request to `pipeline` with a workspace's bearer key.
    pub fn new(address: &str, pipeline: &str, key: &str) -> Self {
        Self {
            address: address.to_owned(),
            pipeline: pipeline.to_owned(),
            key: key.to_owned(),
            body: "{}".to_owned(),
            timeout: Duration::from_secs(3),
            patience: Duration::from_secs(3) + PATIENCE,
            idempotency_key: None,
            stream: false,
        }
    }

    /// Sets the JSON body.
    pub fn body(mut self, body: &str) -> Self {
        body.clone_into(&mut self.body);
        self
    }

    /// Sets the time in which the daemon is to answer.
    pub fn timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self.patience = timeout + PATIENCE;
        self
    }

    /// Makes the caller hang up after this long, whatever it told the daemon.
    pub fn hang_up(mut self, patience: Duration) -> Self {
        self.patience = patience;
        self
    }

    /// Sets the idempotency key.
    pub fn idempotency_key(mut self, key: &str) -> Self {
        self.idempotency_key = Some(key.to_owned());
        self
    }

    /// Asks for tokens as they are generated.
    pub fn stream(mut self, stream: bool) -> Self {
        self.stream = stream;
        self
    }

    /// Sends the request and waits for what comes of it.
    pub fn send(&self) -> Reply {
        let start = Instant::now();
        let url = format!("http://{}/v1/pipelines/{}", self.address, self.pipeline);
        let mut request = Request::post(url, self.patience)
            .body(self.body.as_bytes())
            .bearer_key(&self.key)
            .announce_timeout(self.timeout);
        if let Some(key) = &self.idempotency_key {
            request = request.header("Idempotency-Key", key);
        }
        if self.stream {
            request = request.header("Accept", "text/event-stream");
        }
        match request.send() {
            Ok(head) => self.read(head, start),
            Err(error) => Reply::without(&error),
        }
    }

    fn read(&self, head: Head, start: Instant) -> Reply {
        let mut reply = Reply::new(Outcome::Cut);
        reply.status = head.status;
        reply.request = head.header("X-Request-Id").and_then(|id| id.parse().ok());
        reply.may_send_again = head.header("Retry-After").is_some();
        if self.stream && head.status == 200 {
            reply.follow(head, start);
        } else {
            let status = head.status;
            match head.text(MAX_ANSWER_BYTES) {
                Ok(text) => reply.conclude(status == 200, text),
                Err(error) => reply.text = error.to_string(),
            }
        }
        reply
    }
}

impl Reply {
    /// Returns why there is no answer, in a few words; none if there is one.
    pub fn reason(&self) -> Option<String> {
        if self.outcome == Outcome::Answered {
            return None;
        }
        let detail = self.detail.as_ref().unwrap_or(&self.text);
        Some(format!("{:?}: {detail}", self.outcome))
    }

    fn new(outcome: Outcome) -> Self {
        Self {
            outcome,
            status: 0,
            request: None,
            may_send_again: false,
            text: String::new(),
            detail: None,
            first_token: None,
            gaps: Vec::new(),
            tokens: String::new(),
            is_ordered: true,
        }
    }

    fn without(error: &exchange::Error) -> Self {
        let outcome = match error {
            exchange::Error::NotSent { .. } => Outcome::NotSent,
            _ => Outcome::Cut,
        };
        Self {
            text: error.to_string(),
            ..Self::new(outcome)
        }
    }

    fn conclude(&mut self, is_answer: bool, text: String) {
        let problem = serde_json::from_str::<Problem>(&text);
        let detail = problem.as_ref().ok().and_then(|p| p.detail.clone());
        self.outcome = match problem.map(|p| p.verdict) {
            _ if is_answer => Outcome::Answered,
            Ok(Verdict::NotRun) => Outcome::NotRun,
            Ok(Verdict::Unknown) => Outcome::Unknown,
            Ok(Verdict::Failed) => Outcome::Failed,
            Err(_) => Outcome::Cut,
        };
        self.detail = detail.filter(|_| !is_answer);
        self.text = text;
    }

    /// Reads server-sent events until the last.
    fn follow(&mut self, mut head: Head, start: Instant) {
        let mut event = Event::default();
        let mut last = start;
        while let Ok(Some(line)) = head.line(MAX_ANSWER_BYTES) {
            if !line.is_empty() {
                event.add(&line);
                continue;
            }
            let done = std::mem::take(&mut event);
            match done.name.as_str() {
                "token" => {
                    let now = Instant::now();
                    self.token(&done, now - start, now - last);
                    last = now;
                }
                "answer" => return self.conclude(true, done.data),
                "problem" => return self.conclude(false, done.data),
                _ => {}
            }
        }
    }

    fn token(&mut self, event: &Event, since_start: Duration, gap: Duration) {
        let number = event.id.parse::<usize>().ok();
        let expected = match self.first_token {
            None => 0,
            Some(_) => self.gaps.len() + 1,
        };
        self.is_ordered &= number == Some(expected);
        match self.first_token {
            None => self.first_token = Some(since_start),
            Some(_) => self.gaps.push(gap),
        }
        let text: String = serde_json::from_str(&event.data).unwrap_or_default();
        self.tokens.push_str(&text);
    }
}

/// One server-sent event.
#[derive(Default)]
struct Event {
    id: String,
    name: String,
    data: String,
}

impl Event {
    fn add(&mut self, line: &str) {
        let line = line.trim_end_matches('\r');
        let (field, value) = line.split_once(':').unwrap_or((line, ""));
        let value = value.strip_prefix(' ').unwrap_or(value);
        match field {
            "id" => value.clone_into(&mut self.id),
            "event" => value.clone_into(&mut self.name),
            "data" => self.data.push_str(value),
            _ => {}
        }
    }
}

#[cfg(test)]
mod tests;
