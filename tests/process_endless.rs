//! An instance that answers with bytes without end, beside a real daemon.
//!
//! The load: one filing after the other.

mod common;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use awc::http::{Method, StatusCode};
use common::{DeskFleet, FleetPlan, eventually};
use serde_json::Value;

/// A chunk whose size line never ends.
const LINE_START: &[u8] = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4;x=";
/// The head of a body whose chunks never end.
const BODY_START: &[u8] = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
/// Bytes in 0.3 s that show that bodies are under way.
const FLOWING_BYTES: usize = 100_000;
const DEADLINE: Duration = Duration::from_secs(30);

/// An instance on a loopback address that answers with `start` and then `part` without end, and the number
/// of connections that the daemon has closed.
fn open_instance(start: &'static [u8], part: &'static [u8]) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let closed = Arc::new(AtomicUsize::new(0));
    let count = Arc::clone(&closed);
    std::thread::spawn(move || {
        for socket in listener.incoming() {
            let count = Arc::clone(&count);
            std::thread::spawn(move || {
                write_forever(socket.unwrap(), start, part);
                count.fetch_add(1, Ordering::SeqCst);
            });
        }
    });
    (address, closed)
}

/// Answers the first request of a connection until the daemon closes it.
fn write_forever(mut socket: TcpStream, start: &[u8], part: &[u8]) {
    let parts = part.repeat(4096 / part.len());
    let _ = socket.read(&mut [0; 4096]);
    let _ = socket.write_all(start);
    while socket.write_all(&parts).is_ok() {}
}

/// Whether the circuit breaker of the instance is open, from the daemon's dump.
fn is_doubted(desk: &DeskFleet) -> bool {
    let output = desk.fleet.operate(0, &["dump"]).stdout;
    let dump: Value = serde_json::from_slice(&output).unwrap();
    let instances = dump["egress"]["instances"].as_array().unwrap();
    let found = instances.iter().find(|one| one["instance"] == "raw-1");
    !found.unwrap()["health"]["trust"]["doubt"].is_null()
}

/// Guards against a request that waits for its deadline at such an instance, that counts as not run,
/// or that leaves the instance trusted or its connection open.
#[actix_rt::test]
async fn endless_answers() {
    let desk = DeskFleet::open("endless-answers", 1).await;
    let resources = desk.fleet.resources(0);
    resources.create_service("raw", 2).await;
    resources.create_route("raws", "raw", "filing").await;
    let (address, closed) = open_instance(LINE_START, b"x");
    let daemon = &desk.fleet.daemons[0];
    daemon.announce_instance("raw-1", "raw", address, 2).await;
    let millis = DEADLINE.as_millis().to_string();
    let caller = desk.caller(0).with_header("x-deadline-ms", &millis);
    let file = async || {
        let begin = Instant::now();
        let answer = caller
            .send(Method::POST, "/raws/1", "", b"x")
            .await
            .unwrap();
        assert!(begin.elapsed() < DEADLINE / 2, "the filing waited");
        answer
    };
    eventually("an answer cut off", async || {
        let answer = file().await;
        let is_cut = answer.status == StatusCode::BAD_GATEWAY;
        assert!(!is_cut || answer.verdict() == "may-have-run");
        is_cut
    })
    .await;
    // A filing is refused until the ingress knows the state of the instance; later ones are sent to it,
    // as there is no other.
    eventually("an instance that is not trusted", async || {
        let answer = file().await;
        let is_refused =
            answer.status == StatusCode::SERVICE_UNAVAILABLE && answer.text().contains("sick");
        is_refused || is_doubted(&desk)
    })
    .await;
    assert!(is_doubted(&desk), "the breaker of the instance is closed");
    eventually("a closed connection", async || {
        closed.load(Ordering::SeqCst) > 0
    })
    .await;
}

/// Asks for `/raws/1` and reads the answer to the end of the connection, counting its bytes in `received`.
fn read_forever(callers: SocketAddr, key: &str, received: &AtomicUsize) {
    let mut socket = TcpStream::connect(callers).unwrap();
    let head = format!("GET /raws/1 HTTP/1.1\r\nhost: raw\r\nauthorization: Bearer {key}\r\n\r\n");
    socket.write_all(head.as_bytes()).unwrap();
    let mut bytes = [0; 4096];
    while let Ok(count) = socket.read(&mut bytes) {
        if count == 0 {
            return;
        }
        received.fetch_add(count, Ordering::SeqCst);
    }
}

/// Guards against a shutdown that lasts as long as a body without end, and against other callers that lose
/// their answers meanwhile.
#[actix_rt::test]
async fn endless_bodies_at_stop() {
    const SHUTDOWN: Duration = Duration::from_secs(4);
    const READERS: usize = 8;
    let plan = FleetPlan {
        tables: "[proxy]\nshutdown = \"4s\"\n".to_owned(),
        ..FleetPlan::of(2)
    };
    let mut desk = DeskFleet::open_with("endless-stop", plan, |_| {}).await;
    let resources = desk.fleet.resources(0);
    resources.create_service("raw", 2).await;
    resources.create_route("raws", "raw", "extract").await;
    let chunk = format!("400\r\n{}\r\n", "x".repeat(1_024)).leak();
    let (address, _) = open_instance(BODY_START, chunk.as_bytes());
    let daemon = &desk.fleet.daemons[0];
    daemon.announce_instance("raw-1", "raw", address, 20).await;
    let received = Arc::new(AtomicUsize::new(0));
    eventually("bodies under way", async || {
        let before = received.load(Ordering::SeqCst);
        for _ in 0..READERS {
            let (callers, key) = (daemon.callers(), desk.secret.clone());
            let count = Arc::clone(&received);
            std::thread::spawn(move || read_forever(callers, &key, &count));
        }
        actix_rt::time::sleep(Duration::from_millis(300)).await;
        received.load(Ordering::SeqCst) - before > FLOWING_BYTES
    })
    .await;
    let caller = desk.caller(1);
    let stopped_at = Instant::now();
    desk.fleet.daemons[0].process.terminate();
    let lookups = actix_rt::spawn(async move {
        for _ in 0..20 {
            let answer = caller.get("/lookups/1").await.unwrap();
            assert_eq!(answer.status, StatusCode::OK, "{}", answer.text());
            actix_rt::time::sleep(Duration::from_millis(100)).await;
        }
    });
    desk.fleet.daemons[0].process.ended().await;
    let ended_after = stopped_at.elapsed();
    assert!(ended_after < SHUTDOWN, "ended after {ended_after:?}");
    lookups.await.unwrap();
}
