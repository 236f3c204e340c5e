//! Responses whose status the protocol does not have, through real daemons to their callers.

mod common;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicU16, Ordering};

use awc::http::Method;
use common::{DeskFleet, FleetPlan, eventually};

/// Requests on whole responses between two odd ones, so that the instance stays in use.
const WHOLE_BETWEEN: usize = 4;

/// Guards against a caller that gets a status such as 000 or 999 as its answer, from the instance beside
/// its daemon or through another one.
#[actix_rt::test]
async fn odd_status_is_no_answer() {
    let desk = DeskFleet::open_with("odd-statuses", FleetPlan::of(2), |_| {}).await;
    let status = Arc::new(AtomicU16::new(200));
    let address = spawn_instance(Arc::clone(&status));
    let daemon = &desk.fleet.daemons[0];
    daemon.announce_instance("odd", "desk", address, 3).await;
    for backend in &desk.fleet.backends {
        backend.control("{\"phase\":\"draining\"}").await;
    }
    for index in 0..2 {
        let caller = desk.caller(index).with_header("x-deadline-ms", "1000");
        eventually("a whole response", async || {
            let answer = caller.get("/lookups/1").await;
            answer.is_ok_and(|answer| answer.body == b"lane")
        })
        .await;
        for odd in [0, 99, 600, 999] {
            status.store(odd, Ordering::SeqCst);
            let sent = caller.send(Method::POST, "/filings", "odd", b"").await;
            status.store(200, Ordering::SeqCst);
            let got = sent.unwrap().status.as_u16();
            assert!([502, 503].contains(&got), "{got} for {odd}");
            for _ in 0..WHOLE_BETWEEN {
                let _ = caller.get("/lookups/1").await;
            }
        }
    }
}

/// Starts an instance that answers with `status`, on kept connections.
fn spawn_instance(status: Arc<AtomicU16>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for socket in listener.incoming() {
            let mut socket = socket.unwrap();
            let status = Arc::clone(&status);
            std::thread::spawn(move || {
                let mut request = [0; 4096];
                while let Ok(1..) = socket.read(&mut request) {
                    let status = status.load(Ordering::SeqCst);
                    let head =
                        format!("HTTP/1.1 {status:03} OK\r\nx-instance: odd\r\ncontent-length: 4");
                    let _ = socket.write_all(format!("{head}\r\n\r\nlane").as_bytes());
                }
            });
        }
    });
    address
}
