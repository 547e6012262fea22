use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::task::LocalSet;

use super::*;
use crate::clock::Boot;

/// What an endpoint does with a connection of this VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Port {
    Accepts,
    Refuses,
}

/// What another daemon answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Other {
    /// There is none.
    Missing,
    /// It is gone.
    Gone,
    /// It passes the connection on, or refuses with a status.
    Status(u16),
}

async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    (listener, address)
}

/// Starts a listener that answers each connection with a status; returns its address.
async fn start_other(status: u16) -> SocketAddr {
    let (listener, address) = listen().await;
    spawn_local(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let answer = format!("HTTP/1.1 {status} X\r\n\r\n");
            drop(stream.write_all(answer.as_bytes()).await);
            spawn_local(async move {
                tokio::time::sleep(Duration::from_secs(5)).await;
                drop(stream);
            });
        }
    });
    address
}

async fn start_endpoint(endpoint: Port) -> SocketAddr {
    let (listener, address) = listen().await;
    if endpoint == Port::Accepts {
        spawn_local(async move { while listener.accept().await.is_ok() {} });
    }
    address
}

/// Starts a dialer with one other daemon, an endpoint, and a second endpoint of the deployment.
async fn start(endpoint: Port, second: Port, other: Other) -> (Rc<Dialer>, Target) {
    let clock: Rc<dyn Clock> = Rc::new(Boot::new());
    let dialer = Dialer::start("r".into(), clock, Logger::root(slog::Discard, slog::o!()));
    let target = Target {
        endpoint: "e1".into(),
        address: start_endpoint(endpoint).await,
        residency: Residency::default(),
    };
    let second = start_endpoint(second).await;
    *dialer.endpoints.borrow_mut() = [("e1".into(), target.address), ("e2".into(), second)].into();
    let address = match other {
        Other::Missing => None,
        Other::Gone => Some(start_endpoint(Port::Refuses).await),
        Other::Status(status) => Some(start_other(status).await),
    };
    if let Some(address) = address {
        let carrier = Carrier {
            name: "f2".into(),
            address,
            region: "r".into(),
            cpu_millicores: 250,
        };
        dialer.apply_carrier(&"f2".into(), Some(carrier));
    }
    (dialer, target)
}

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let local = LocalSet::new();
    local.block_on(&runtime.expect("a runtime"), test);
}

/// Guards against a VM that takes the fault of its link for the fault of an endpoint, or the other way round.
#[test]
fn examine_tells_whose_fault_it_is() {
    use Other::{Gone, Missing, Status};
    use Port::{Accepts, Refuses};
    let cases = [
        (Accepts, Accepts, Missing, Finding::Alive),
        (Accepts, Refuses, Status(502), Finding::Alive),
        (Refuses, Accepts, Status(200), Finding::Cut),
        (Refuses, Refuses, Status(200), Finding::Cut),
        (Refuses, Refuses, Status(403), Finding::Cut),
        (Refuses, Refuses, Status(502), Finding::Ended),
        // No other daemon can tell, so the other endpoint does.
        (Refuses, Accepts, Missing, Finding::Ended),
        (Refuses, Accepts, Gone, Finding::Ended),
        (Refuses, Accepts, Status(503), Finding::Ended),
        (Refuses, Refuses, Missing, Finding::Unknown),
        (Refuses, Refuses, Gone, Finding::Unknown),
        (Refuses, Refuses, Status(503), Finding::Unknown),
    ];
    run(async move {
        for (endpoint, second, other, expected) in cases {
            let (dialer, target) = start(endpoint, second, other).await;
            let found = dialer.examine(&target, Duration::ZERO).await;
            assert_eq!(found, expected, "{endpoint:?} {second:?} {other:?}");
            let is_down = expected == Finding::Unknown;
            assert_eq!(
                dialer.is_down(),
                is_down,
                "{endpoint:?} {second:?} {other:?}"
            );
        }
    });
}

#[test]
fn connect_fails_with_whose_fault_it_is() {
    use Other::{Missing, Status};
    use Port::{Accepts, Refuses};
    run(async {
        let (dialer, target) = start(Refuses, Accepts, Status(200)).await;
        let connection = dialer.connect(&target).await.expect("a detour");
        assert!(connection.is_detour());
        let (dialer, target) = start(Refuses, Accepts, Status(403)).await;
        let closed = dialer.connect(&target).await.err();
        assert!(matches!(closed, Some(Error::Closed { .. })));
        let (dialer, target) = start(Refuses, Refuses, Status(502)).await;
        let unreached = dialer.connect(&target).await.err();
        assert!(matches!(unreached, Some(Error::Unreached { .. })));
        let (dialer, target) = start(Refuses, Refuses, Missing).await;
        let isolated = dialer.connect(&target).await.err();
        assert!(matches!(isolated, Some(Error::Isolated { .. })));
    });
}
