//! Tests with real processes: a stopping daemon waits neither for the platform nor for other daemons, and
//! starts nothing that its exit would cut off.

mod common;

use std::time::{Duration, Instant};

use awc::http::Method;
use common::{DeskFleet, FleetPlan, TestFleet, eventually};
use serde_json::Value;

/// Logged when the instances beside the stopping daemon begin to drain.
const DRAIN_LINE: &str = "The instances of this VM drain.";

/// Waits until the instances beside the daemon `index` drain.
async fn drained(fleet: &TestFleet, index: usize) {
    let process = &fleet.daemons[index].process;
    eventually("a drain", async || process.output().contains(DRAIN_LINE)).await;
}

/// Guards against a shutdown that waits for the platform and for other daemons to take the rate limits
/// back: the instances drained too late, and the daemon was killed with its requests.
#[actix_rt::test]
async fn silent_platform() {
    const SHUTDOWN: Duration = Duration::from_secs(6);
    let plan = FleetPlan {
        platform_fields: "timeout = \"20s\"".to_owned(),
        tables: "[proxy]\nshutdown = \"6s\"\n".to_owned(),
        ..FleetPlan::of(3)
    };
    let mut fleet = TestFleet::open("stop-silent-platform", plan).await;
    eventually("leases of rates", async || held_shares(&fleet, 0) > 0).await;
    fleet.platform_mode("{\"slow\":60000}").await;
    fleet.daemons[2].process.pause();
    let stopped_at = Instant::now();
    fleet.daemons[0].process.terminate();
    drained(&fleet, 0).await;
    let drained_after = stopped_at.elapsed();
    let status = fleet.daemons[0].process.ended().await;
    let ended_after = stopped_at.elapsed();
    assert!(
        drained_after < SHUTDOWN / 2,
        "drained after {drained_after:?}, ended after {ended_after:?}"
    );
    assert!(ended_after < SHUTDOWN, "ended after {ended_after:?}");
    assert_eq!(status.code(), Some(0));
}

/// Returns the number of shares of the rates that the daemon `index` leases.
fn held_shares(fleet: &TestFleet, index: usize) -> usize {
    let output = fleet.operate(index, &["dump"]).stdout;
    let dump: Value = serde_json::from_slice(&output).unwrap();
    let held = &dump["limits"]["shares_leased"];
    held.as_array().map_or(0, Vec::len)
}

/// Guards against waiting requests that start while the daemon beside their instance ends, and are cut
/// off by its exit: they go to another instance.
#[actix_rt::test]
async fn waiting_requests_move() {
    const REQUESTS: usize = 24;
    let plan = FleetPlan {
        tables: "[proxy]\nshutdown = \"4s\"\n".to_owned(),
        ..FleetPlan::of(2)
    };
    let mut desk = DeskFleet::open_with("stop-waiting", plan, |plan| {
        plan.service_time = "1500ms".into();
    })
    .await;
    let caller = desk.caller(0).with_header("x-deadline-ms", "30000");
    let sent: Vec<_> = (0..REQUESTS)
        .map(|number| {
            let caller = caller.clone();
            actix_rt::spawn(async move {
                let tag = format!("filing-{number}");
                let sending = caller.send(Method::POST, "/filings", &tag, b"filing");
                let answer = sending.await.unwrap();
                (tag, answer)
            })
        })
        .collect();
    eventually("a queue", async || offered(&desk, 1) >= REQUESTS / 3).await;
    desk.fleet.daemons[1].process.terminate();
    drained(&desk.fleet, 1).await;
    actix_rt::time::sleep(Duration::from_millis(100)).await;
    let started = desk.fleet.backends[1].ran().await.len();
    let status = desk.fleet.daemons[1].process.ended().await;
    let total = desk.fleet.backends[1].ran().await.len();
    assert_eq!(total, started, "requests started after the drain");
    assert_eq!(status.code(), Some(0));
    for request in sent {
        let (tag, answer) = request.await.unwrap();
        assert!(answer.answers(&tag, b"filing"), "{tag}: {}", answer.text());
        assert_eq!(desk.times_ran(&tag).await, 1, "{tag}");
    }
}

/// Returns the number of requests that wait or run beside the daemon `index`.
fn offered(desk: &DeskFleet, index: usize) -> usize {
    let output = desk.fleet.operate(index, &["dump"]).stdout;
    let dump: Value = serde_json::from_slice(&output).unwrap();
    let count = dump["egress"]["under_way"].as_u64().unwrap();
    usize::try_from(count).unwrap()
}
