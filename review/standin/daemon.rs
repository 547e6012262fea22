//! The project's daemon, as a process of its own with the settings of a machine.

use std::fs::{self, File};
use std::io::Write;
use std::net::{IpAddr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::Connection;

/// The program that the deploy file starts.
const PROGRAM: &str = "target/front/cyclamenrill-front";
pub const SIGTERM: i32 = 15;
pub const SIGKILL: i32 = 9;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

pub struct Daemon {
    pub name: String,
    pub front: SocketAddr,
    ready: SocketAddr,
    folder: PathBuf,
    child: Option<Child>,
}

/// What differs between daemons.
pub struct Machine<'a> {
    pub name: &'a str,
    pub ip: IpAddr,
    pub zone: &'a str,
    pub cpu_share: f64,
    pub store: SocketAddr,
}

fn free_port(ip: IpAddr) -> u16 {
    let listener = TcpListener::bind((ip, 0)).expect("a free port");
    listener.local_addr().expect("an address").port()
}

/// Returns the first of two free ports in a row.
fn free_pair(ip: IpAddr) -> u16 {
    loop {
        let port = free_port(ip);
        if port < u16::MAX && TcpListener::bind((ip, port + 1)).is_ok() {
            return port;
        }
    }
}

impl Daemon {
    /// Starts a daemon; its settings and its output go to a temporary folder.
    pub fn start(machine: &Machine<'_>, folder: &std::path::Path) -> Self {
        let Machine {
            name,
            ip,
            zone,
            cpu_share,
            store,
        } = machine;
        let folder = folder.join(name);
        fs::create_dir_all(&folder).expect("a writable folder");
        let front = SocketAddr::new(*ip, free_port(*ip));
        let ready = SocketAddr::new(*ip, free_port(*ip));
        let port = free_pair(*ip);
        let region = zone.split('-').next().unwrap_or_default();
        let settings = format!(
            r#"{{"node_name":"{name}","role":"front","machine_class":"front","serves":["front"],
"ip":"{ip}","zone":"{zone}","region":"{region}",
"zones":{{"tallinn-a":"tallinn","tallinn-b":"tallinn","tartu-a":"tartu"}},
"listen":{{"front":"{front}","ready":"{ready}"}},"port_range":[{port},{}],
"seeds":[],"bootstrap":true,"counts_as_loss":false,
"limits":{{"cpu_share":{cpu_share},"cores":1,"memory_mb":260,"max_fds":4100,"link_mbps":1000.0,"disk_mb":0}},
"data_dir":null,"discovery":"platform","entry_mode":"vip","heartbeat_ms":1200,
"contracts":["base","drain","config","cost","retry","recover","engine","stream","tenants","platform","stages"],
"fault_tolerance":{{"machines":2,"zones":0,"regions":0}},
"bounds":{{"seed_lag_s":3,"addr_reuse_s":2,"stable_window_ms":4000,"ack_timeout_ms":5000,"catch_up_s":4,
"drain_ms":2500,"grace_s":8,"loss_slack_ms":200,"config_apply_ms":2500,"rollback_slack_ms":250,
"max_stretch_ms":6000,"revoke_strict":true,"revoke_ms":5000,"retry_budget_ratio":0.2,"budget_window_s":10,
"budget_slack":52,"recovery_s":12,"pass_ms":250,"reuse_window_s":6.8}},
"platform":{{"address":"{store}","form":"log","writes_per_s":400,"reads_per_s":2000,"parts":12,"append_ms":2.0,
"part_mb_s":20.0,"read_mb_s":80.0,"record_bytes":262144,"call_bytes":2097152,"keep_s":300,"part_mb":200,
"ttl_min_ms":1000}}}}"#,
            port + 15
        );
        fs::write(folder.join("settings.json"), settings).expect("a writable folder");
        let mut daemon = Self {
            name: (*name).to_owned(),
            front,
            ready,
            folder,
            child: None,
        };
        daemon.run();
        daemon
    }

    /// Starts the process, the first time or again.
    pub fn run(&mut self) {
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.folder.join("output.txt"))
            .expect("a writable folder");
        let errors = log.try_clone().expect("a descriptor");
        let child = Command::new(PROGRAM)
            .env("CYCLAMENRILL_SETTINGS", self.folder.join("settings.json"))
            .stdout(log)
            .stderr(errors)
            .spawn();
        let child = child.expect("the build of the deploy file");
        // The script ends what is left, should this process be ended itself.
        let pids = self.folder.parent().map(|parent| parent.join("pids"));
        let pids = pids.and_then(|path| File::options().create(true).append(true).open(path).ok());
        if let Some(mut pids) = pids {
            drop(writeln!(pids, "{}", child.id()));
        }
        self.child = Some(child);
    }

    pub fn pid(&self) -> u32 {
        self.child.as_ref().map_or(0, Child::id)
    }

    pub fn signal(&self, signal: i32) {
        if let Some(child) = &self.child {
            // The child was not waited for, so the id is still its own.
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    /// Waits until the process has ended, as long as the platform waits before it kills.
    pub fn wait(&mut self, grace: Duration) {
        let deadline = Instant::now() + grace;
        while self.is_running() {
            if Instant::now() >= deadline {
                self.signal(SIGKILL);
            }
            thread::sleep(Duration::from_millis(5));
        }
        self.child = None;
    }

    pub fn is_running(&mut self) -> bool {
        let child = self.child.as_mut();
        child.is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    /// Returns the memory of the process, in bytes.
    pub fn memory(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.pid()));
        let status = status.unwrap_or_default();
        let line = status.lines().find(|line| line.starts_with("VmRSS:"));
        let kilobytes = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<u64>().ok());
        kilobytes.unwrap_or(0) * 1024
    }

    /// Returns whether the daemon tells the platform that it is ready.
    pub fn is_ready(&self) -> bool {
        let Ok(mut connection) = Connection::connect(self.ready) else {
            return false;
        };
        let wait = Some(Duration::from_secs(1));
        drop(connection.stream.set_read_timeout(wait));
        let request = b"GET /v1/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
        connection.send(request).is_ok()
            && matches!(connection.head(), Ok(Some(head)) if head.status() == 200)
    }

    /// Waits until the daemon is ready; returns whether it was in time.
    pub fn wait_ready(&self) -> bool {
        let deadline = Instant::now() + Duration::from_secs(10);
        while Instant::now() < deadline {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(100));
        }
        false
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            drop(child.kill());
            drop(child.wait());
        }
    }
}
