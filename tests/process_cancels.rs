//! Tests with real processes: requests that end before their instance has answered.

mod common;

use std::time::Duration;

use common::{DeskFleet, eventually};
use futures_util::future::join_all;
use serde_json::Value;

/// Callers that leave.
const CALLERS: usize = 12;

/// Requests that the ingress of the daemon `index` counts as running at the instances, together.
fn counted_requests(desk: &DeskFleet, index: usize) -> u64 {
    let output = desk.fleet.operate(index, &["dump"]).stdout;
    let dump: Value = serde_json::from_slice(&output).unwrap();
    let instances = dump["ingress"]["pickers"]["desk"]["instances"].as_object();
    let in_flight = |stats: &Value| stats["load"]["in_flight"].as_u64().unwrap();
    instances.unwrap().values().map(in_flight).sum()
}

/// Guards against instances that an ingress believes busy for ever because callers left while they were at
/// work.
#[actix_rt::test]
async fn callers_leave() {
    let desk = DeskFleet::open("cancel-leave", 2).await;
    for backend in &desk.fleet.backends {
        backend.fault("{\"slow\":200.0}").await;
    }
    let caller = desk.caller(0);
    let tags: Vec<_> = (0..CALLERS)
        .map(|number| format!("left-{number}"))
        .collect();
    let requests = tags
        .iter()
        .map(|tag| caller.send(awc::http::Method::GET, "/lookups/1", tag, b""));
    let left = actix_rt::time::timeout(Duration::from_millis(400), join_all(requests)).await;
    assert!(
        left.is_err(),
        "the requests ended before their callers left"
    );
    eventually("no request counted as running", async || {
        counted_requests(&desk, 0) == 0
    })
    .await;
}
