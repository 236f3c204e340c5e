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
use common::{DeskFleet, eventually};
use serde_json::Value;

/// A chunk whose size line never ends.
const START: &[u8] = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4;x=";
const DEADLINE: Duration = Duration::from_secs(30);

/// An instance on a loopback address, and the number of connections that the daemon has closed.
fn open_instance() -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let closed = Arc::new(AtomicUsize::new(0));
    let count = Arc::clone(&closed);
    std::thread::spawn(move || {
        for socket in listener.incoming() {
            let count = Arc::clone(&count);
            std::thread::spawn(move || {
                write_forever(socket.unwrap());
                count.fetch_add(1, Ordering::SeqCst);
            });
        }
    });
    (address, closed)
}

/// Answers the first request of a connection until the daemon closes it.
fn write_forever(mut socket: TcpStream) {
    let _ = socket.read(&mut [0; 4096]);
    let _ = socket.write_all(START);
    while socket.write_all(&[b'x'; 4096]).is_ok() {}
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
    let (address, closed) = open_instance();
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
