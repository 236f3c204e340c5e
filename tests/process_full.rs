//! A daemon whose connections are all at work.

mod common;

use std::io::Write;
use std::net::TcpStream;

use awc::http::StatusCode;
use common::{DeskFleet, FleetPlan, eventually};

/// Guards against a newcomer that is not told that its request has not run and when to send it again, and
/// against one that takes the place of a request at work.
#[actix_rt::test]
async fn newcomer_is_refused() {
    let plan = FleetPlan {
        tables: "[proxy]\nmax_connections = 1\n".to_owned(),
        ..FleetPlan::of(1)
    };
    let desk = DeskFleet::open_with("full", plan, |_| {}).await;
    let mut working = TcpStream::connect(desk.fleet.daemons[0].callers()).unwrap();
    let request = format!(
        "GET /lookups/long?work=3000 HTTP/1.1\r\nhost: x\r\nx-tag: long\r\nauthorization: Bearer {}\r\n\r\n",
        desk.secret
    );
    working.write_all(request.as_bytes()).unwrap();
    eventually("the run", async || desk.times_ran("long").await == 1).await;
    let answer = desk.caller(0).get("/lookups/1").await.unwrap();
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(answer.verdict(), "not-run");
    assert_eq!(answer.header("retry-after"), "1");
    assert_eq!(answer.header("connection"), "close");
    eventually("the response to the next request", async || {
        let answer = desk.caller(0).get("/lookups/2").await;
        answer.is_ok_and(|answer| answer.status.is_success())
    })
    .await;
    assert_eq!(desk.times_ran("long").await, 1);
}

/// Guards against a client that sends its requests ahead, so that its connection is never idle, and keeps
/// every other caller out.
#[actix_rt::test]
async fn requests_sent_ahead_make_way() {
    let plan = FleetPlan {
        tables: "[proxy]\nmax_connections = 1\n".to_owned(),
        ..FleetPlan::of(1)
    };
    let desk = DeskFleet::open_with("full-ahead", plan, |_| {}).await;
    let mut greedy = TcpStream::connect(desk.fleet.daemons[0].callers()).unwrap();
    let request = format!(
        "GET /lookups/ahead?work=500 HTTP/1.1\r\nhost: x\r\nx-tag: ahead\r\nauthorization: Bearer {}\r\n\r\n",
        desk.secret
    );
    // Far more than are served within the test.
    greedy.write_all(request.repeat(400).as_bytes()).unwrap();
    eventually("the run", async || desk.times_ran("ahead").await > 0).await;
    eventually("the response to another caller", async || {
        let answer = desk.caller(0).get("/lookups/1").await;
        answer.is_ok_and(|answer| answer.status.is_success())
    })
    .await;
}
