//! The platform's store: a log with keyed topics, as far as the daemons use it.

use std::collections::{BTreeMap, HashMap};
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Connection, Message, answer};

/// The longest record, `record_bytes` of the settings.
const RECORD_BYTES: usize = 262_144;

#[derive(Default)]
struct State {
    /// The records of each topic, without their lengths.
    topics: HashMap<String, Vec<Vec<u8>>>,
}

/// The store; it lives as long as the process.
#[derive(Clone, Default)]
pub struct Store {
    shared: Arc<(Mutex<State>, Condvar)>,
}

/// The address of an endpoint, and of the link over which a reader reaches it.
type Link = Option<(SocketAddr, SocketAddr)>;

/// Puts the address of the link in place of the endpoint's own.
fn translate(bytes: &[u8], link: Link) -> Vec<u8> {
    let Some((own, seen)) = link else {
        return bytes.to_vec();
    };
    // Keys and entries are text.
    let text = String::from_utf8_lossy(bytes);
    text.replace(&format!("\"{own}\""), &format!("\"{seen}\""))
        .into_bytes()
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let mut three = [0; 3];
        three[..group.len()].copy_from_slice(group);
        let number = u32::from_be_bytes([0, three[0], three[1], three[2]]);
        for place in 0..4 {
            let digit = DIGITS[(number >> (18 - 6 * place)) as usize & 63];
            text.push(if place <= group.len() {
                char::from(digit)
            } else {
                '='
            });
        }
    }
    text
}

/// Encodes a record of a keyed topic.
pub fn keyed(key: &str, value: &str) -> Vec<u8> {
    let mut record = vec![key.len() as u8];
    record.extend_from_slice(key.as_bytes());
    record.extend_from_slice(value.as_bytes());
    record
}

/// Splits the body of an append into its records.
fn records(mut body: &[u8]) -> Vec<Vec<u8>> {
    let mut records = Vec::new();
    while let Some((size, rest)) = body.split_first_chunk::<4>() {
        let size = (u32::from_be_bytes(*size) as usize).min(rest.len());
        records.push(rest[..size].to_vec());
        body = &rest[size..];
    }
    records
}

fn query(target: &str) -> HashMap<String, String> {
    let (_, query) = target.split_once('?').unwrap_or_default();
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs
        .map(|(name, value)| (name.to_owned(), value.to_owned()))
        .collect()
}

impl Store {
    /// Starts to listen.
    pub fn start() -> std::io::Result<(Self, SocketAddr)> {
        let store = Self::default();
        let address = store.listen(None)?;
        Ok((store, address))
    }

    /// Listens at one more address. Who reads there reaches one endpoint over a link: it sees the second address in
    /// place of the first one.
    pub fn listen(&self, link: Link) -> std::io::Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let server = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = server.clone();
                thread::spawn(move || store.serve(stream, link));
            }
        });
        Ok(address)
    }

    /// Appends a record to a keyed topic.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        self.append(topic, vec![keyed(key, value)]);
    }

    fn append(&self, topic: &str, mut records: Vec<Vec<u8>>) -> (usize, usize) {
        let (state, changed) = &*self.shared;
        let mut state = state.lock().unwrap();
        let log = state.topics.entry(topic.to_owned()).or_default();
        let offset = log.len();
        log.append(&mut records);
        let end = log.len();
        changed.notify_all();
        (offset, end)
    }

    fn serve(&self, stream: TcpStream, link: Link) {
        let mut connection = Connection::new(stream);
        while let Ok(Some(mut request)) = connection.head() {
            if connection.body(&mut request, false).is_err() {
                return;
            }
            let answered = self.answer(&request, link);
            if connection.stream.write_all(&answered).is_err()
                || request.get("Connection") == Some("close")
            {
                return;
            }
        }
    }

    fn answer(&self, request: &Message, link: Link) -> Vec<u8> {
        let target = request.target();
        let query = query(target);
        let topic = query.get("topic").cloned().unwrap_or_default();
        let number = |name: &str| query.get(name).and_then(|text| text.parse::<usize>().ok());
        let json = "Content-Type: application/json\r\n";
        if target.starts_with("/v1/log-append") {
            let records = records(&request.body);
            if records.iter().any(|record| record.len() > RECORD_BYTES) {
                return answer(413, "", b"");
            }
            let (offset, end) = self.append(&topic, records);
            let body = format!(r#"{{"offset":{offset},"end":{end}}}"#);
            return answer(200, json, body.as_bytes());
        }
        if target.starts_with("/v1/log-newest") {
            return answer(200, json, self.newest(&topic, link).as_bytes());
        }
        if target.starts_with("/v1/log-read") {
            let from = number("from").unwrap_or(0);
            let wait = Duration::from_millis(number("wait_ms").unwrap_or(0) as u64);
            return self.read(&topic, from, wait, link);
        }
        answer(404, "", b"")
    }

    fn newest(&self, topic: &str, link: Link) -> String {
        let state = self.shared.0.lock().unwrap();
        let log = state.topics.get(topic).map_or(&[][..], Vec::as_slice);
        let mut newest: BTreeMap<Vec<u8>, (usize, Vec<u8>)> = BTreeMap::new();
        for (offset, record) in log.iter().enumerate() {
            let (key, value) = record[1..].split_at(record[0].into());
            newest.insert(key.to_vec(), (offset, translate(value, link)));
        }
        let entries = newest.iter().filter(|(_, (_, value))| !value.is_empty());
        let entries = entries.map(|(key, (offset, value))| {
            let key = String::from_utf8_lossy(key);
            let value = base64(value);
            format!(r#"{{"key":"{key}","value":"{value}","offset":{offset}}}"#)
        });
        let entries: Vec<String> = entries.collect();
        let (entries, end) = (entries.join(","), log.len());
        format!(r#"{{"entries":[{entries}],"more":false,"end":{end}}}"#)
    }

    fn read(&self, topic: &str, from: usize, wait: Duration, link: Link) -> Vec<u8> {
        let (state, changed) = &*self.shared;
        let until = Instant::now() + wait;
        let mut state = state.lock().unwrap();
        loop {
            let end = state.topics.get(topic).map_or(0, Vec::len);
            let left = until.saturating_duration_since(Instant::now());
            if from > end {
                return answer(410, "", br#"{"first":0}"#);
            }
            if end > from || left.is_zero() {
                break;
            }
            state = changed.wait_timeout(state, left).unwrap().0;
        }
        let log = state.topics.get(topic).map_or(&[][..], Vec::as_slice);
        let mut body = (log.len() as u64).to_be_bytes().to_vec();
        body.extend_from_slice(&0u64.to_be_bytes());
        for record in &log[from..] {
            let record = translate(record, link);
            body.extend_from_slice(&(record.len() as u32).to_be_bytes());
            body.extend_from_slice(&record);
        }
        answer(200, "", &body)
    }
}
