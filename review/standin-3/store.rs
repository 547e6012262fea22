//! The platform's store: topics of records, with the newest record of each key. Each machine reaches it at an address
//! of its own, which can be cut off.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::net::{Head, Wire};

#[derive(Default)]
pub struct Store {
    topics: Mutex<BTreeMap<String, Vec<Vec<u8>>>>,
    appended: Condvar,
}

/// One machine's way to the store. While it is cut, calls get no answer.
pub struct Gate {
    pub address: SocketAddr,
    pub is_cut: Arc<AtomicBool>,
}

fn query<'a>(target: &'a str, name: &str) -> Option<&'a str> {
    let pairs = target
        .split(['?', '&'])
        .filter_map(|pair| pair.split_once('='));
    pairs
        .into_iter()
        .find(|(key, _)| *key == name)
        .map(|(_, value)| value)
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for three in bytes.chunks(3) {
        let byte = |index: usize| u32::from(three.get(index).copied().unwrap_or_default());
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for index in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * index) & 63) as usize];
            text.push(if index <= three.len() {
                char::from(digit)
            } else {
                '='
            });
        }
    }
    text
}

impl Store {
    /// Appends a keyed record.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut record = vec![key.len() as u8];
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(value.as_bytes());
        let mut topics = self.topics.lock().unwrap();
        topics.entry(topic.to_owned()).or_default().push(record);
        self.appended.notify_all();
    }

    /// Opens a machine's way to the store.
    pub fn gate(self: &Arc<Self>) -> Gate {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port for the store");
        let address = listener.local_addr().expect("its address");
        let is_cut = Arc::new(AtomicBool::new(false));
        let (store, cut) = (self.clone(), is_cut.clone());
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (store, cut) = (store.clone(), cut.clone());
                std::thread::spawn(move || store.serve(Wire::new(stream), &cut));
            }
        });
        Gate { address, is_cut }
    }

    fn serve(&self, mut wire: Wire, cut: &AtomicBool) {
        while let Some(head) = wire.head() {
            let Some(body) = wire.body(&head) else { return };
            if cut.load(Ordering::SeqCst) {
                // Nothing was done, and no answer comes: the machine has no path to the store.
                std::thread::sleep(Duration::from_secs(60));
                return;
            }
            let (status, body) = self.respond(&head, &body);
            if cut.load(Ordering::SeqCst) {
                std::thread::sleep(Duration::from_secs(60));
                return;
            }
            if wire.answer(status, "Store-Era: 0\r\n", &body).is_none() {
                return;
            }
        }
    }

    fn respond(&self, head: &Head, body: &[u8]) -> (&'static str, Vec<u8>) {
        let target = head.word(1);
        let topic = query(target, "topic").unwrap_or_default().to_owned();
        match target.split('?').next().unwrap_or_default() {
            "/v1/log-newest" => {
                let topics = self.topics.lock().unwrap();
                let records = topics.get(&topic).cloned().unwrap_or_default();
                let mut newest = BTreeMap::new();
                for (offset, record) in records.iter().enumerate() {
                    let size = usize::from(record[0]);
                    let key = String::from_utf8_lossy(&record[1..=size]).into_owned();
                    newest.insert(key, (offset, record[1 + size..].to_vec()));
                }
                let entries = newest.iter().filter(|(_, (_, value))| !value.is_empty());
                let entry = |(key, (offset, value)): (&String, &(usize, Vec<u8>))| {
                    let value = base64(value);
                    format!(r#"{{"key":"{key}","value":"{value}","offset":{offset}}}"#)
                };
                let entries: Vec<String> = entries.map(entry).collect();
                let (entries, end) = (entries.join(","), records.len());
                let page = format!(r#"{{"entries":[{entries}],"more":false,"end":{end}}}"#);
                ("200 OK", page.into_bytes())
            }
            "/v1/log-read" => {
                let number = |name| query(target, name).and_then(|text| text.parse().ok());
                let from = number("from").unwrap_or(0) as usize;
                let until = Instant::now() + Duration::from_millis(number("wait_ms").unwrap_or(0));
                let mut topics = self.topics.lock().unwrap();
                loop {
                    let records = topics.get(&topic).cloned().unwrap_or_default();
                    let left = until.saturating_duration_since(Instant::now());
                    if records.len() > from || left.is_zero() {
                        let mut page = (records.len() as u64).to_be_bytes().to_vec();
                        page.extend_from_slice(&0u64.to_be_bytes());
                        for record in records.iter().skip(from) {
                            page.extend_from_slice(&(record.len() as u32).to_be_bytes());
                            page.extend_from_slice(record);
                        }
                        return ("200 OK", page);
                    }
                    topics = self.appended.wait_timeout(topics, left).unwrap().0;
                }
            }
            "/v1/log-append" => {
                let mut topics = self.topics.lock().unwrap();
                let records = topics.entry(topic).or_default();
                let offset = records.len();
                let mut rest = body;
                while rest.len() >= 4 {
                    let (size, after) = rest.split_at(4);
                    let size = u32::from_be_bytes(size.try_into().unwrap()) as usize;
                    let (record, after) = after.split_at(size.min(after.len()));
                    records.push(record.to_vec());
                    rest = after;
                }
                let end = records.len();
                self.appended.notify_all();
                (
                    "200 OK",
                    format!(r#"{{"offset":{offset},"end":{end}}}"#).into_bytes(),
                )
            }
            _ => ("404 Not Found", Vec::new()),
        }
    }
}
