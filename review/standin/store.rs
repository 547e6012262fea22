//! The platform's store: a log with keyed topics. It loses nothing that it has acknowledged.

use std::collections::HashMap;
use std::io;
use std::net::{IpAddr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Connection, response};

/// The usual time of an answer.
const ANSWER_TIME: Duration = Duration::from_millis(4);

/// The addresses under which one daemon reaches endpoints: the other end of its links.
pub type Links = Vec<(SocketAddr, SocketAddr)>;

/// Whether the store turns one daemon away.
pub type Refusing = Arc<AtomicBool>;

/// Records without their length, by topic.
type Topics = HashMap<String, Vec<Vec<u8>>>;

#[derive(Default)]
pub struct Store {
    topics: Mutex<Topics>,
    appended: Condvar,
    /// How often it has come back from a copy.
    copies: AtomicU64,
    /// Whether it is away: nobody gets an answer.
    is_away: AtomicBool,
}

fn query<'a>(target: &'a str, name: &str) -> Option<&'a str> {
    let (_, query) = target.split_once('?')?;
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let byte = |index: usize| u32::from(chunk.get(index).copied().unwrap_or(0));
        let group = byte(0) << 16 | byte(1) << 8 | byte(2);
        for digit in 0..4 {
            if digit <= chunk.len() {
                let value = group >> (18 - 6 * digit) & 63;
                text.push(DIGITS[value as usize] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}

fn split_key(record: &[u8]) -> (&[u8], &[u8]) {
    let size = usize::from(record.first().copied().unwrap_or(0));
    let rest = &record[1.min(record.len())..];
    rest.split_at(size.min(rest.len()))
}

impl Store {
    /// Listens for the calls of one daemon, for which endpoints are listed at the ends of its links.
    pub fn listen(self: &Arc<Self>, ip: IpAddr, links: Links) -> SocketAddr {
        self.listen_until(ip, links, &Refusing::default())
    }

    /// The same; the calls are turned away while the store refuses the daemon.
    pub fn listen_until(
        self: &Arc<Self>,
        ip: IpAddr,
        links: Links,
        refusing: &Refusing,
    ) -> SocketAddr {
        let listener = TcpListener::bind((ip, 0)).expect("a free port");
        let address = listener.local_addr().expect("an address");
        let (store, refusing) = (self.clone(), refusing.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (store, links, refusing) = (store.clone(), links.clone(), refusing.clone());
                thread::spawn(move || store.serve(Connection::new(stream), &links, &refusing));
            }
        });
        address
    }

    /// Writes the value of a key, as operators and endpoints do.
    pub fn write(&self, topic: &str, key: &str, value: &str) {
        let mut record = vec![u8::try_from(key.len()).expect("a short key")];
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(value.as_bytes());
        self.append(topic, vec![record]);
    }

    fn append(&self, topic: &str, records: Vec<Vec<u8>>) -> (usize, usize) {
        let mut topics = self.topics.lock().expect("no panic");
        let log = topics.entry(topic.to_owned()).or_default();
        let offset = log.len();
        log.extend(records);
        self.appended.notify_all();
        (offset, log.len())
    }

    /// Returns a copy of what it holds.
    pub fn copy(&self) -> Topics {
        self.topics.lock().expect("no panic").clone()
    }

    /// Goes away: open calls end without an answer.
    pub fn leave(&self) {
        self.is_away.store(true, Ordering::SeqCst);
        self.wake();
    }

    /// Comes back from a copy; offsets are given out again.
    pub fn come_back(&self, copy: Topics) {
        let mut topics = self.topics.lock().expect("no panic");
        *topics = copy;
        self.copies.fetch_add(1, Ordering::SeqCst);
        self.is_away.store(false, Ordering::SeqCst);
    }

    fn era(&self) -> String {
        format!("Store-Era: {}\r\n", 1 + self.copies.load(Ordering::SeqCst))
    }

    /// Has waiting reads look whether they are turned away.
    pub fn wake(&self) {
        let _topics = self.topics.lock().expect("no panic");
        self.appended.notify_all();
    }

    fn serve(
        &self,
        mut connection: Connection,
        links: &Links,
        refusing: &Refusing,
    ) -> io::Result<()> {
        while let Some(head) = connection.head()? {
            let mut body = Vec::new();
            connection.body(&head, &mut body)?;
            if self.is_away.load(Ordering::SeqCst) {
                return Ok(());
            }
            let mut answer = self.answer(head.target(), &body, links, refusing);
            if self.is_away.load(Ordering::SeqCst) {
                return Ok(());
            }
            if refusing.load(Ordering::SeqCst) {
                answer = response("503 Service Unavailable", &self.era(), b"");
            }
            thread::sleep(ANSWER_TIME);
            connection.send(&answer)?;
            if head.get("Connection").is_some_and(|value| value == "close") {
                break;
            }
        }
        Ok(())
    }

    fn answer(&self, target: &str, body: &[u8], links: &Links, refusing: &Refusing) -> Vec<u8> {
        if refusing.load(Ordering::SeqCst) {
            return Vec::new();
        }
        let topic = query(target, "topic").unwrap_or_default();
        let number = |name| query(target, name).and_then(|text| text.parse::<u64>().ok());
        let is_servers = topic == "keyed.servers";
        let era = self.era();
        let fields = &format!("{era}Content-Type: application/json\r\n");
        let path = target.split('?').next().unwrap_or_default();
        match path {
            "/v1/log-append" => {
                let mut records = Vec::new();
                let mut rest = body;
                while let Some((size, others)) = rest.split_first_chunk() {
                    let size = u32::from_be_bytes(*size) as usize;
                    let (record, others) = others.split_at(size.min(others.len()));
                    records.push(record.to_vec());
                    rest = others;
                }
                let (offset, end) = self.append(topic, records);
                let text = format!(r#"{{"offset":{offset},"end":{end}}}"#);
                response("200 OK", fields, text.as_bytes())
            }
            "/v1/log-newest" => {
                let topics = self.topics.lock().expect("no panic");
                let log = topics.get(topic).map_or(&[][..], Vec::as_slice);
                let mut newest: Vec<(&[u8], &[u8], usize)> = Vec::new();
                for (offset, record) in log.iter().enumerate() {
                    let (key, value) = split_key(record);
                    newest.retain(|(other, ..)| *other != key);
                    if !value.is_empty() {
                        newest.push((key, value, offset));
                    }
                }
                let entry = |(key, value, offset): &(&[u8], &[u8], usize)| {
                    let value = translate(value, links, is_servers);
                    let (key, value) = (String::from_utf8_lossy(key), base64(&value));
                    format!(r#"{{"key":"{key}","value":"{value}","offset":{offset}}}"#)
                };
                let entries: Vec<String> = newest.iter().map(entry).collect();
                let (entries, end) = (entries.join(","), log.len());
                let text = format!(r#"{{"entries":[{entries}],"more":false,"end":{end}}}"#);
                response("200 OK", fields, text.as_bytes())
            }
            "/v1/log-read" => {
                let from = number("from").unwrap_or(0) as usize;
                let wait = Duration::from_millis(number("wait_ms").unwrap_or(0));
                let deadline = Instant::now() + wait;
                let mut topics = self.topics.lock().expect("no panic");
                loop {
                    let end = topics.get(topic).map_or(0, Vec::len);
                    let left = deadline.saturating_duration_since(Instant::now());
                    let is_over =
                        refusing.load(Ordering::SeqCst) || self.is_away.load(Ordering::SeqCst);
                    if end > from || left.is_zero() || is_over {
                        break;
                    }
                    let waited = self.appended.wait_timeout(topics, left);
                    topics = waited.expect("no panic").0;
                }
                let log = topics.get(topic).map_or(&[][..], Vec::as_slice);
                if from > log.len() {
                    return response("410 Gone", fields, br#"{"first":0}"#);
                }
                let mut page = (log.len() as u64).to_be_bytes().to_vec();
                page.extend_from_slice(&0u64.to_be_bytes());
                for record in &log[from..] {
                    let record = translate(record, links, is_servers);
                    page.extend_from_slice(&(record.len() as u32).to_be_bytes());
                    page.extend_from_slice(&record);
                }
                response("200 OK", &era, &page)
            }
            _ => response("404 Not Found", fields, b"{}"),
        }
    }
}

/// Replaces the addresses of endpoints by the ends of a daemon's links to them.
fn translate(record: &[u8], links: &Links, is_servers: bool) -> Vec<u8> {
    if !is_servers || links.is_empty() {
        return record.to_vec();
    }
    let mut text = String::from_utf8_lossy(record).into_owned();
    for (endpoint, link) in links {
        let quoted = |address: &SocketAddr| format!(r#""address":"{address}""#);
        text = text.replace(&quoted(endpoint), &quoted(link));
    }
    text.into_bytes()
}
