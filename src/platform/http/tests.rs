//! Tests of the platform clients against the platform's stand-ins.

use std::sync::Arc;
use std::time::Duration;

use super::{Log, Roster, Weights};
use crate::clock::{Clock, System};
use crate::platform::memory::Fault;
use crate::platform::{Error, Log as _, Roster as _, Weights as _};
use crate::standin::platform::Platform;
use crate::standin::store::Store;

const TIMEOUT: Duration = Duration::from_secs(20);

struct Fixture {
    platform: Arc<Platform>,
    url: String,
}

fn fixture() -> Fixture {
    let clock: Arc<dyn Clock> = Arc::new(System::new());
    let platform = Arc::new(Platform::new(&clock, Arc::new(Store::default()), 1));
    let serving = platform.clone();
    let server = rouille::Server::new("127.0.0.1:0", move |request| {
        let answer = serving.handle(request);
        answer.unwrap_or_else(rouille::Response::empty_404)
    });
    let server = server.unwrap();
    let url = format!("http://{}", server.server_addr());
    std::thread::spawn(move || server.run());
    Fixture { platform, url }
}

#[test]
fn append_and_read_back() {
    let fixture = fixture();
    let log = Log::new(&format!("{}/log", fixture.url));
    assert_eq!(log.append("claims-1", b"{\"a\":1}", TIMEOUT).unwrap(), 0);
    assert_eq!(log.append("claims-1", b"{\"a\":2}", TIMEOUT).unwrap(), 1);
    let page = log.read("claims-1", 1, Duration::ZERO).unwrap();
    assert_eq!((page.first, page.end), (0, 2));
    assert_eq!(page.records[0].body, b"{\"a\":2}");
}

#[test]
fn append_outage_has_no_effect() {
    let fixture = fixture();
    let log = Log::new(&format!("{}/log", fixture.url));
    fixture.platform.log.change_faults(|f| f.outage = true);
    let error = log.append("s", b"{}", TIMEOUT).unwrap_err();
    assert!(matches!(error, Error::NoEffect { .. }), "{error}");
}

#[test]
fn append_lost_answer_is_unknown() {
    let fixture = fixture();
    let log = Log::new(&format!("{}/log", fixture.url));
    fixture.platform.log.inject(Fault::LostAfter);
    let error = log.append("s", b"{}", TIMEOUT).unwrap_err();
    assert!(matches!(error, Error::Unknown { .. }), "{error}");
    assert_eq!(log.read("s", 0, Duration::ZERO).unwrap().end, 1);
}

#[test]
fn append_nobody_listens_has_no_effect() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let log = Log::new(&format!("http://{}/log", listener.local_addr().unwrap()));
    drop(listener);
    let error = log.append("s", b"{}", TIMEOUT).unwrap_err();
    assert!(matches!(error, Error::NoEffect { .. }), "{error}");
}

#[test]
fn read_waits_for_records() {
    let fixture = fixture();
    let log = Log::new(&format!("{}/log", fixture.url));
    let url = fixture.url.clone();
    let reader = std::thread::spawn(move || {
        let log = Log::new(&format!("{url}/log"));
        log.read("s", 0, TIMEOUT)
    });
    log.append("s", b"{}", TIMEOUT).unwrap();
    assert_eq!(reader.join().unwrap().unwrap().records.len(), 1);
}

#[test]
fn list_and_manifests() {
    let fixture = fixture();
    let roster = Roster::new(&format!("{}/roster", fixture.url));
    assert!(roster.list().unwrap().is_empty());
    let weights = Weights::new(&format!("{}/weights", fixture.url));
    assert!(weights.manifests().unwrap().is_empty());
}
