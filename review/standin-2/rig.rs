//! What every case needs: a record, the store, daemons started as the deploy file says, and endpoints.

use std::fmt::Display;
use std::fs::File;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, ChildStderr, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::engine::Options;
use crate::http;
use crate::store::Store;

/// The memory of a machine, in millions of bytes, as in the settings of the small deployments.
pub const MEMORY_MB: u64 = 260;
/// The program of the deploy file.
const FRONT: &str = "target/front/cyclamenrill-front";
/// The key of the only tenant.
pub const KEY: &str = "9dnn2ctnfzs989anu6ws";

/// Lines with the time since the start, on the standard output and in `record.txt`.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    pub fn elapsed(&self) -> Duration {
        self.start.elapsed()
    }

    pub fn note(&self, line: impl Display) {
        let line = format!("{:8.3} s  {line}", self.start.elapsed().as_secs_f64());
        println!("{line}");
        drop(writeln!(self.file.lock().unwrap(), "{line}"));
    }
}

/// A daemon.
pub struct Front {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    child: Child,
}

impl Front {
    /// Returns how the process has ended, if it has.
    pub fn ending(&mut self) -> Option<String> {
        let status = self.child.try_wait().ok()??;
        Some(status.to_string())
    }

    pub fn is_ready(&self) -> bool {
        let answer = http::call(self.ready, "GET", "/v1/ready", b"");
        answer.is_ok_and(|answer| answer.status() == 200)
    }

    /// Returns the memory that the process has used at most, in millions of bytes.
    pub fn peak_mb(&self) -> u64 {
        let path = format!("/proc/{}/status", self.child.id());
        let status = std::fs::read_to_string(path).unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let kib = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
        kib.unwrap_or(0) * 1024 / 1_000_000
    }

    pub fn kill(&mut self) {
        drop(self.child.kill());
    }
}

/// An endpoint's process.
pub struct Engine {
    child: Child,
}

impl Engine {
    pub fn has_ended(&mut self) -> bool {
        self.child.try_wait().is_ok_and(|status| status.is_some())
    }

    pub fn kill(&mut self) {
        drop(self.child.kill());
        drop(self.child.wait());
    }
}

impl Drop for Engine {
    fn drop(&mut self) {
        self.kill();
    }
}

impl Drop for Front {
    fn drop(&mut self) {
        drop(self.child.kill());
        drop(self.child.wait());
    }
}

/// One run of one case.
pub struct Rig {
    pub record: Record,
    pub store: Store,
    pub store_address: SocketAddr,
    pub has_trouble: bool,
    /// What endpoints have written, each with the time since the start.
    pub lines: Arc<Mutex<Vec<(Duration, String)>>>,
    scratch: PathBuf,
}

/// A zone of the deployment, with its region.
pub const ZONES: [(&str, &str); 3] = [
    ("tallinn-a", "tallinn"),
    ("tallinn-b", "tallinn"),
    ("tartu-a", "tartu"),
];

/// Returns an address that nobody listens at now.
pub fn free_address() -> std::io::Result<SocketAddr> {
    TcpListener::bind("127.0.0.1:0")?.local_addr()
}

impl Rig {
    pub fn start(folder: &str) -> std::io::Result<Self> {
        let file = File::create(PathBuf::from(folder).join("record.txt"))?;
        let record = Record {
            file: Arc::new(Mutex::new(file)),
            start: Instant::now(),
        };
        let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
        let scratch = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        std::fs::create_dir_all(&scratch)?;
        let (store, store_address) = Store::start()?;
        record.note(format!(
            "the disruption is {}",
            if has_trouble { "on" } else { "off" }
        ));
        Ok(Self {
            record,
            store,
            store_address,
            has_trouble,
            lines: Arc::default(),
            scratch,
        })
    }

    /// Starts daemons in the zones in turn, and waits until all are ready. The first one reads the store at an
    /// address of its own, if there is one.
    pub fn fronts(&self, count: usize, store: Option<SocketAddr>) -> std::io::Result<Vec<Front>> {
        let mut fronts = Vec::new();
        for number in 0..count {
            let store = store.filter(|_| number == 0).unwrap_or(self.store_address);
            fronts.push(self.front(number, store)?);
        }
        let until = Instant::now() + Duration::from_secs(15);
        while !fronts.iter().all(Front::is_ready) {
            if Instant::now() > until {
                return Err(std::io::Error::other("the daemons did not become ready"));
            }
            thread::sleep(Duration::from_millis(50));
        }
        // As long as clients wait for machines that have just started.
        thread::sleep(Duration::from_secs(2));
        self.record.note("the daemons are ready");
        Ok(fronts)
    }

    fn front(&self, number: usize, store: SocketAddr) -> std::io::Result<Front> {
        let (zone, region) = ZONES[number % ZONES.len()];
        let name = format!("front-{zone}-{}", 1 + number / ZONES.len());
        // An address of its own, since each daemon also listens at a fixed port.
        let ip = format!(
            "127.{}.{}.{}",
            10 + number,
            std::process::id() / 250 % 250,
            1 + std::process::id() % 250
        );
        let mut ports = Vec::new();
        // Two ports in a row for the traffic between daemons.
        while ports.len() < 4 {
            let first = TcpListener::bind((ip.as_str(), 0))?;
            let port = first.local_addr()?.port();
            if ports.len() < 2 {
                ports.push(port);
            } else if port < u16::MAX && TcpListener::bind((ip.as_str(), port + 1)).is_ok() {
                ports.extend([port, port + 1]);
            }
        }
        let zones: Vec<String> = ZONES
            .iter()
            .map(|(zone, region)| format!(r#""{zone}":"{region}""#))
            .collect();
        let settings = format!(
            r#"{{"node_name":"{name}","role":"front","machine_class":"front","serves":["front"],"ip":"{ip}",
            "zone":"{zone}","region":"{region}","zones":{{{zones}}},
            "listen":{{"front":"{ip}:{}","ready":"{ip}:{}"}},"port_range":[{},{}],"seeds":[],
            "bootstrap":true,"counts_as_loss":false,
            "limits":{{"cpu_share":0.25,"cores":1,"memory_mb":{MEMORY_MB},"max_fds":4100,"link_mbps":1000.0,"disk_mb":0}},
            "data_dir":null,"discovery":"platform","entry_mode":"vip","heartbeat_ms":1200,
            "contracts":["base","drain","config","cost","retry","recover","engine","stream","tenants","platform","stages"],
            "fault_tolerance":{{"machines":2,"zones":0,"regions":0}},
            "bounds":{{"seed_lag_s":3,"addr_reuse_s":2,"stable_window_ms":4000,"ack_timeout_ms":5000,"catch_up_s":4,
            "drain_ms":2500,"grace_s":8,"loss_slack_ms":200,"config_apply_ms":2500,"rollback_slack_ms":250,
            "max_stretch_ms":6000,"revoke_strict":true,"revoke_ms":5000,"retry_budget_ratio":0.2,"budget_window_s":10,
            "budget_slack":52,"recovery_s":12,"pass_ms":250,"reuse_window_s":6.8}},
            "platform":{{"address":"{}","form":"log","writes_per_s":400,"reads_per_s":2000,"parts":12,"append_ms":2.0,
            "part_mb_s":20.0,"read_mb_s":80.0,"record_bytes":262144,"call_bytes":2097152,"keep_s":300,"part_mb":200,
            "ttl_min_ms":1000}}}}"#,
            ports[0],
            ports[1],
            ports[2],
            ports[3],
            store,
            zones = zones.join(","),
        );
        let path = self.scratch.join(format!("{name}.json"));
        std::fs::write(&path, settings)?;
        let log = File::create(self.scratch.join(format!("{name}.log")))?;
        let mut child = Command::new(FRONT)
            .env_clear()
            .env("CYCLAMENRILL_SETTINGS", &path)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(Stdio::piped())
            .spawn()?;
        self.copy_errors(&name, child.stderr.take());
        let address = |port: u16| SocketAddr::new(ip.parse().expect("an address"), port);
        Ok(Front {
            name,
            front: address(ports[0]),
            ready: address(ports[1]),
            child,
        })
    }

    /// Puts what a daemon writes to its standard error into the record.
    fn copy_errors(&self, name: &str, errors: Option<ChildStderr>) {
        let (record, name) = (self.record.clone(), name.to_owned());
        thread::spawn(move || {
            for line in BufReader::new(errors.expect("a pipe"))
                .lines()
                .map_while(Result::ok)
            {
                record.note(format!("{name} says: {line}"));
            }
        });
    }

    /// Starts an endpoint, whose output goes to the record.
    pub fn engine(&self, options: &Options) -> std::io::Result<Engine> {
        let mut child = Command::new(std::env::current_exe()?)
            .arg("engine")
            .args(options.arguments())
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()?;
        let (record, id, lines) = (self.record.clone(), options.id.clone(), self.lines.clone());
        let output = child.stdout.take().expect("a pipe");
        thread::spawn(move || {
            for line in BufReader::new(output).lines().map_while(Result::ok) {
                record.note(format!("endpoint {id} {line}"));
                lines.lock().unwrap().push((record.elapsed(), line));
            }
        });
        Ok(Engine { child })
    }
}

impl Drop for Rig {
    fn drop(&mut self) {
        drop(std::fs::remove_dir_all(&self.scratch));
    }
}

/// A configuration like that of a small deployment: drafts with a stage, streams without one, and orders.
pub fn configuration(version: u64) -> String {
    let route = |name: &str, kind: &str, service: &str, timeout: u32, target: u32, rest: &str| {
        format!(
            r#"{{"name":"r-{name}","host":"kitchen.example","path_prefix":"/{name}/","kind":"{kind}","timeout_ms":{timeout},"target_latency_ms":{target},"priority":1,"service":"{service}","public":false{rest}}}"#
        )
    };
    let staged = r#","max_attempts":1,"stages":[{"service":"allergy-registry","after":[],"bytes":8000}],"sticky":true,"resumable":false,"target_gap_ms":300"#;
    let plain = r#","max_attempts":1,"sticky":true,"resumable":false,"target_gap_ms":300"#;
    let resumable = r#","max_attempts":1,"sticky":true,"resumable":true,"target_gap_ms":300"#;
    let routes = [
        route("plan", "stream", "menu-model", 6000, 920, staged),
        route("notice", "stream", "menu-model", 15000, 1500, plain),
        route("query", "stream", "menu-model", 15000, 1500, resumable),
        route(
            "commit",
            "non_idempotent",
            "orders",
            5000,
            300,
            r#","max_attempts":1"#,
        ),
        route(
            "lookup",
            "idempotent",
            "orders",
            1000,
            300,
            r#","max_attempts":2"#,
        ),
    ];
    let services = r#"{"name":"menu-model","max_conns":610,"engine":{"slots":128,"kv_capacity":577317,"kv_token_bytes":96256,"link_mbps":1100000}},{"name":"orders","max_conns":96},{"name":"allergy-registry","max_conns":610,"pieces":{"slots":1,"queue":2,"batch":10,"call_ms":150,"item_ms":13,"headroom_mb":64,"handle_s":4,"link_mbps":10000}}"#;
    format!(
        r#"{{"version":{version},"routes":[{}],"services":[{services}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"tenants":[{{"name":"bozi300","api_keys":["{KEY}"]}}]}}"#,
        routes.join(",")
    )
}

/// Returns the head of a client's request.
pub fn head(
    method: &str,
    path: &str,
    attempt: &str,
    deadline_ms: u32,
    fields: &str,
    body: usize,
) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: kitchen.example\r\nAttempt-Id: {attempt}\r\nX-Api-Key: {KEY}\r\nDeadline-Ms: {deadline_ms}\r\n{fields}Content-Length: {body}\r\n\r\n"
    )
}
