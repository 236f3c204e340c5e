//! A response whose head is cut, through a real daemon to its caller.

mod common;

use std::io::{Read, Write};
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use awc::http::Method;
use common::{DeskFleet, FleetPlan, eventually};

const RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\nx-instance: cutter\r\nx-a: b\r\n\r\nlane";
/// Requests on whole responses between two cut ones, so that the instance stays in use.
const WHOLE_BETWEEN: usize = 4;

/// Guards against a cut head that a caller gets as a success with an empty or short body, where responses
/// may end with their connection.
#[actix_rt::test]
async fn cut_head_is_no_success() {
    let plan = FleetPlan {
        tables: "[proxy]\naccept_unframed = true\n".to_owned(),
        ..FleetPlan::of(1)
    };
    let desk = DeskFleet::open_with("cut-heads", plan, |_| {}).await;
    let length = Arc::new(AtomicUsize::new(RESPONSE.len()));
    let served = Arc::new(AtomicUsize::new(0));
    let address = spawn_instance(Arc::clone(&length), Arc::clone(&served));
    let daemon = &desk.fleet.daemons[0];
    daemon.announce_instance("cutter", "desk", address, 3).await;
    let draining = "{\"phase\":\"draining\"}";
    desk.fleet.backends[0].control(draining).await;
    let caller = desk.caller(0).with_header("x-deadline-ms", "1000");
    eventually("a whole response", async || {
        let answer = caller.get("/lookups/1").await;
        answer.is_ok_and(|answer| answer.body == b"lane")
    })
    .await;
    let head = RESPONSE.len() - b"lane".len();
    let mut cuts_served = 0;
    for cut in 0..head {
        length.store(cut, Ordering::SeqCst);
        let before = served.load(Ordering::SeqCst);
        if let Ok(answer) = caller.send(Method::POST, "/filings", "cut", b"").await {
            assert!(!answer.status.is_success(), "{cut}: {}", answer.text());
        }
        cuts_served += usize::from(served.load(Ordering::SeqCst) > before);
        length.store(RESPONSE.len(), Ordering::SeqCst);
        for _ in 0..WHOLE_BETWEEN {
            let _ = caller.get("/lookups/1").await;
        }
    }
    assert!(cuts_served > head / 2, "only {cuts_served} of {head}");
}

/// Starts an instance that sends the first `length` bytes of `RESPONSE` to each request and closes the
/// connection. Counts the requests in `served`.
fn spawn_instance(length: Arc<AtomicUsize>, served: Arc<AtomicUsize>) -> std::net::SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for socket in listener.incoming() {
            let mut socket = socket.unwrap();
            let mut request = [0; 4096];
            if let Ok(1..) = socket.read(&mut request) {
                served.fetch_add(1, Ordering::SeqCst);
                let _ = socket.write_all(&RESPONSE[..length.load(Ordering::SeqCst)]);
            }
        }
    });
    address
}
