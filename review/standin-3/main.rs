//! Plays a case: `rig CASE DIRECTORY`. With `TROUBLE=0` in its environment it leaves the disruption out. Exits with 1 if
//! the rule was broken, 0 if it held, and 2 if the case could not run.

use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use engine::{Engine, Kind, Results};
use record::Record;
use store::Store;
use system::{Front, Stream};

mod cases;
mod engine;
mod net;
mod record;
mod store;
mod system;

/// What a case plays with.
pub struct Rig {
    pub store: Arc<Store>,
    pub results: Results,
    pub record: Arc<Record>,
    pub directory: PathBuf,
    pub has_trouble: bool,
}

/// What the rule says of a run.
pub enum Verdict {
    Held,
    Broken,
    NotRun(&'static str),
}

impl Rig {
    pub fn engine(&self, id: &str, service: &str, kind: Kind, version: &str) -> Arc<Engine> {
        let engine = Engine::new(id, service, kind, &self.store, &self.results, &self.record);
        engine.start(version);
        engine
    }

    pub fn restart(&self, engine: &Arc<Engine>, version: &str) {
        engine.start(version);
    }

    /// Writes the configuration: a route of streams, and two of plain requests.
    pub fn configure(&self, stages: &str, services: &str) {
        self.store.put("keyed.op", "config", &format!(
            r#"{{"version":3,"routes":[{{"name":"menu","host":"menu.example","path_prefix":"/menu/","kind":"stream","timeout_ms":15000,"target_latency_ms":2200,"priority":1,"service":"model","max_attempts":2,"stages":[{stages}],"public":false,"sticky":true,"resumable":true,"target_gap_ms":500}},{{"name":"roster","host":"menu.example","path_prefix":"/roster/","kind":"idempotent","timeout_ms":1500,"target_latency_ms":300,"priority":2,"service":"office","max_attempts":2,"stages":[],"public":false}},{{"name":"orders","host":"menu.example","path_prefix":"/orders/","kind":"non_idempotent","timeout_ms":3000,"target_latency_ms":1500,"priority":2,"service":"office","max_attempts":1,"stages":[],"public":false}}],"services":[{{"name":"model","health_path":"/health","max_conns":600,"protocol":"h1","tls":false,"engine":{{"slots":64,"kv_capacity":1000000,"kv_token_bytes":0,"link_mbps":0,"handle_s":5.0,"models":[{{"name":"m"}}]}}}},{{"name":"office","health_path":"/health","max_conns":110,"protocol":"h1","tls":false}}{services}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"tenants":[{{"name":"school","api_keys":["key-1"]}}]}}"#
        ));
    }

    /// Begins streams, each with more fields that are made from its attempt.
    pub fn streams(
        &self,
        front: &Front,
        name: &str,
        count: usize,
        more: impl Fn(&str) -> String,
    ) -> Vec<Stream> {
        let numbers = 0..count;
        let begin = |number| {
            std::thread::sleep(Duration::from_millis(15));
            let attempt = format!("{name}{number:04x}");
            Stream::begin(front, &attempt, &more(&attempt), None, &self.record)
        };
        numbers.map(begin).collect()
    }

    pub fn wait(&self, seconds: f64) {
        std::thread::sleep(Duration::from_secs_f64(seconds));
    }

    /// Cuts a machine off from the store, or heals its cut.
    pub fn cut(&self, gate: &store::Gate, is_cut: bool) {
        gate.is_cut.store(is_cut, Ordering::SeqCst);
        self.record.line(if is_cut {
            "a machine is cut off from the store"
        } else {
            "the cut heals"
        });
    }
}

fn main() {
    let mut arguments = std::env::args().skip(1);
    let (case, target) = (
        arguments.next().unwrap_or_default(),
        arguments.next().unwrap_or_default(),
    );
    let target = Path::new(&target);
    let directory = std::env::temp_dir().join(format!("review-3-{}", std::process::id()));
    if std::fs::create_dir_all(&directory).is_err() {
        eprintln!("no temporary folder");
        std::process::exit(2);
    }
    let rig = Rig {
        store: Arc::default(),
        results: Arc::default(),
        record: Arc::new(Record::create(&target.join("record.txt"))),
        directory: directory.clone(),
        has_trouble: std::env::var("TROUBLE").as_deref() != Ok("0"),
    };
    let played = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| match case.as_str() {
        "in-place" => cases::in_place(&rig),
        "unrecorded" => cases::unrecorded(&rig),
        "long-names" => cases::long_names(&rig),
        "removed" => cases::removed(&rig),
        "next-life" => cases::next_life(&rig),
        _ => Verdict::NotRun("no such case"),
    }));
    let (code, text) = match played {
        Ok(Verdict::Held) => (0, "the rule held"),
        Ok(Verdict::Broken) => (1, "THE RULE WAS BROKEN"),
        Ok(Verdict::NotRun(reason)) => (2, reason),
        Err(_) => (2, "the case could not run"),
    };
    rig.record.line(text);
    println!("{text}");
    if std::env::var_os("KEEP").is_none() {
        drop(std::fs::remove_dir_all(&directory));
    }
    std::process::exit(code);
}
