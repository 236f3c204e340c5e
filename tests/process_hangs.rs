//! Tests with real processes: instances that never answer a part of their requests.

mod common;

use std::time::{Duration, Instant};

use awc::http::Method;
use common::{DeskFleet, eventually};
use serde_json::Value;

/// Far longer than an instance may take to be found out.
const DEADLINE_MILLIS: &str = "20000";
/// Within this time the instance must be suspect: its service time is 10 ms.
const DETECTION: Duration = Duration::from_secs(5);

/// Whether the daemon `index` believes the instance beside it suspect.
fn is_suspect(desk: &DeskFleet, index: usize) -> bool {
    let output = desk.fleet.operate(index, &["dump"]).stdout;
    let dump: Value = serde_json::from_slice(&output).unwrap();
    let trust = &dump["egress"]["instances"][0]["health"]["trust"];
    !trust["doubt"].is_null()
}

/// Guards against an instance that hangs at some requests and answers the others, and is believed well until
/// the deadlines of those requests have passed.
#[actix_rt::test]
async fn partly_hanging() {
    let desk = DeskFleet::open("hangs-partly", 2).await;
    for _ in 0..60 {
        desk.caller(0).get("/lookups/1").await.unwrap();
    }
    desk.fleet.backends[1].fault("{\"hanging\":\"30%\"}").await;
    let begin = Instant::now();
    let caller = desk.caller(0).with_header("x-deadline-ms", DEADLINE_MILLIS);
    let sending = actix_rt::spawn(async move {
        for number in 0.. {
            let caller = caller.clone();
            actix_rt::spawn(async move {
                let tag = format!("hang-{number}");
                let _ = caller.send(Method::GET, "/lookups/1", &tag, b"").await;
            });
            actix_rt::time::sleep(Duration::from_millis(20)).await;
        }
    });
    eventually("a suspect instance", async || is_suspect(&desk, 1)).await;
    sending.abort();
    assert!(begin.elapsed() < DETECTION, "{:?}", begin.elapsed());
}
