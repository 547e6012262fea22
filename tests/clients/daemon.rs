//! A daemon as a process of its own, with the settings of a VM.

use std::fs;
use std::io::{Read, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU8, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use super::standin::Standin;

/// How long a test waits for what must happen; it only ends a test that has failed.
pub const PATIENCE: Duration = Duration::from_secs(60);
/// The descriptors that the platform sets aside for files.
const FILE_DESCRIPTORS: usize = 200;
const SAMPLE_INTERVAL: Duration = Duration::from_millis(2);

/// Only one test runs at a time: each fills a VM.
pub fn lock() -> MutexGuard<'static, ()> {
    static LOCK: Mutex<()> = Mutex::new(());
    LOCK.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The limits of a VM.
#[derive(Clone, Copy)]
pub struct Limits {
    pub memory_mb: usize,
    pub max_fds: usize,
}

/// The most that a process was seen to hold.
#[derive(Clone, Copy, Debug, Default)]
struct Peak {
    /// Its memory and the bytes that clients have sent and it has not read.
    bytes: usize,
    /// Its sockets and pipes.
    descriptors: usize,
}

/// A daemon with a store and an endpoint.
pub struct Daemon {
    pub front: SocketAddr,
    ready: SocketAddr,
    limits: Limits,
    child: Child,
    settings: PathBuf,
    is_over: Arc<AtomicBool>,
    peak: Arc<Mutex<Peak>>,
    sampler: Option<JoinHandle<()>>,
    _standin: Standin,
}

/// Returns an address of this process that no other test uses.
fn next_ip() -> Ipv4Addr {
    static NEXT: AtomicU8 = AtomicU8::new(1);
    let [_, _, high, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, high.max(1), low, NEXT.fetch_add(1, Ordering::Relaxed))
}

impl Daemon {
    /// Starts a daemon and waits until it is ready.
    pub fn start(limits: Limits) -> Self {
        let standin = Standin::start();
        let ip = next_ip();
        let address = |port| SocketAddr::new(IpAddr::V4(ip), port);
        let (front, ready) = (address(8_625), address(8_621));
        let Limits { memory_mb, max_fds } = limits;
        let store = standin.store;
        let text = format!(
            r#"{{"node_name":"front-a-1","zone":"a","region":"r","zones":{{"a":"r"}},"ip":"{ip}",
            "listen":{{"front":"{front}","ready":"{ready}"}},"port_range":[7740,7755],
            "limits":{{"cpu_share":0.25,"cores":1,"memory_mb":{memory_mb},"max_fds":{max_fds}}},
            "bounds":{{}},"platform":{{"address":"{store}"}}}}"#
        );
        let settings = std::env::temp_dir().join(format!("cyclamenrill-clients-{ip}.json"));
        fs::write(&settings, text).expect("a writable folder");
        let child = Command::new(env!("CARGO_BIN_EXE_cyclamenrill-front"))
            .env("CYCLAMENRILL_SETTINGS", &settings)
            .stdout(Stdio::null())
            .spawn()
            .expect("the daemon's program");
        let (is_over, peak) = (Arc::<AtomicBool>::default(), Arc::<Mutex<Peak>>::default());
        let sampler = {
            let (pid, is_over, peak) = (child.id(), is_over.clone(), peak.clone());
            thread::spawn(move || {
                while !is_over.load(Ordering::Relaxed) {
                    sample(pid, front, &peak);
                    thread::sleep(SAMPLE_INTERVAL);
                }
            })
        };
        let mut daemon = Self {
            front,
            ready,
            limits,
            child,
            settings,
            is_over,
            peak,
            sampler: Some(sampler),
            _standin: standin,
        };
        let began = Instant::now();
        while !daemon.is_ready() {
            assert!(daemon.is_alive(), "the daemon starts");
            assert!(began.elapsed() < PATIENCE, "the daemon becomes ready");
            thread::sleep(Duration::from_millis(20));
        }
        daemon
    }

    fn is_alive(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Returns whether it tells the platform that it is ready.
    pub fn is_ready(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect(self.ready) else {
            return false;
        };
        let mut answer = String::new();
        stream.set_read_timeout(Some(PATIENCE)).expect("a timeout");
        stream
            .write_all(b"GET /v1/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            .and_then(|()| stream.read_to_string(&mut answer))
            .is_ok_and(|_| answer.starts_with("HTTP/1.1 200"))
    }

    /// Stops the process as the platform does, and checks that it ends by itself.
    pub fn stop(&mut self) {
        let pid = i32::try_from(self.child.id()).expect("a process id");
        let pid = rustix::process::Pid::from_raw(pid).expect("a process id");
        rustix::process::kill_process(pid, rustix::process::Signal::TERM).expect("it lives");
        let began = Instant::now();
        while self.is_alive() {
            assert!(began.elapsed() < PATIENCE, "the process ends");
            thread::sleep(Duration::from_millis(20));
        }
        let status = self.child.wait().expect("a status");
        assert!(status.success(), "{status}");
    }

    /// Checks that the process lives and has stayed within its settings.
    pub fn check(&mut self) {
        assert!(self.is_alive(), "the process lives");
        sample(self.child.id(), self.front, &self.peak);
        let peak = *self.peak.lock().expect("a sample");
        let highest = status(self.child.id(), "VmHWM:").unwrap_or_default();
        let bytes = peak.bytes.max(highest);
        println!("{bytes} bytes, {} descriptors", peak.descriptors);
        assert!(
            bytes <= self.limits.memory_mb * 1_000_000,
            "{bytes} bytes, {} MB are allowed",
            self.limits.memory_mb
        );
        let descriptors = self.limits.max_fds - FILE_DESCRIPTORS;
        assert!(
            peak.descriptors <= descriptors,
            "{} descriptors, {descriptors} are allowed",
            peak.descriptors
        );
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.is_over.store(true, Ordering::Relaxed);
        drop(self.child.kill());
        drop(self.child.wait());
        if let Some(sampler) = self.sampler.take() {
            drop(sampler.join());
        }
        drop(fs::remove_file(&self.settings));
    }
}

fn sample(pid: u32, front: SocketAddr, peak: &Mutex<Peak>) {
    let Some(memory) = status(pid, "VmRSS:") else {
        return;
    };
    let bytes = memory + unread(front);
    let descriptors = descriptors(pid);
    let mut peak = peak.lock().expect("no panic");
    peak.bytes = peak.bytes.max(bytes);
    peak.descriptors = peak.descriptors.max(descriptors);
}

/// Returns a figure of the process in bytes.
fn status(pid: u32, name: &str) -> Option<usize> {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = status.lines().find(|line| line.starts_with(name))?;
    let kilobytes: usize = line.split_whitespace().nth(1)?.parse().ok()?;
    Some(kilobytes * 1_024)
}

/// Returns the number of sockets and pipes of a process.
fn descriptors(pid: u32) -> usize {
    let Ok(entries) = fs::read_dir(format!("/proc/{pid}/fd")) else {
        return 0;
    };
    let links = entries.filter_map(|entry| fs::read_link(entry.ok()?.path()).ok());
    let is_counted = |link: &PathBuf| {
        let link = link.to_string_lossy();
        link.starts_with("socket:") || link.starts_with("pipe:")
    };
    links.filter(is_counted).count()
}

/// Returns the bytes that have arrived at an address and were not read, on accepted connections and on those that
/// wait to be accepted.
fn unread(front: SocketAddr) -> usize {
    const LISTEN: &str = "0A";
    let IpAddr::V4(ip) = front.ip() else {
        return 0;
    };
    let local = format!(
        "{:08X}:{:04X}",
        u32::from_le_bytes(ip.octets()),
        front.port()
    );
    let table = fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let queue = |line: &str| {
        let mut fields = line.split_whitespace().skip(1);
        let (address, _, state) = (fields.next()?, fields.next()?, fields.next()?);
        let (_, received) = fields.next()?.split_once(':')?;
        let is_counted = address == local && state != LISTEN;
        is_counted.then(|| usize::from_str_radix(received, 16).ok())?
    };
    table.lines().filter_map(queue).sum()
}
