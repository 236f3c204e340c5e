//! Cold instances in a fleet of real processes.
//!
//! The load: four callers that send lookups without pause through two daemons, of which each has one
//! instance.

mod common;

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use awc::http::{Method, StatusCode};
use common::{CallerClient, DeskFleet, eventually};
use serde_json::{Value, json};

const COLD_PER_S: f64 = 10.0;
/// Requests that may reach a cold instance beside its rate: the burst, and what was under way.
const SLACK: f64 = 8.0;

/// Lookups that were answered and refused.
#[derive(Default)]
struct LoadCounts {
    served: Cell<usize>,
    refused: Cell<usize>,
    stop: Cell<bool>,
}

fn spawn_load(desk: &DeskFleet, index: usize, counts: &Rc<LoadCounts>) {
    let caller = desk.caller(index);
    let counts = Rc::clone(counts);
    actix_rt::spawn(async move {
        while !counts.stop.get() {
            let response = caller.get("/lookups/1").await.unwrap();
            let count = match response.status {
                StatusCode::OK => &counts.served,
                StatusCode::SERVICE_UNAVAILABLE => &counts.refused,
                status => panic!("{status}: {}", response.text()),
            };
            count.set(count.get() + 1);
            actix_rt::time::sleep(Duration::from_millis(5)).await;
        }
    });
}

/// Sets the rate of cold instances of `desk`, and the path where they say whether they are cold.
async fn set_cold_rate(desk: &DeskFleet) {
    let resources = desk.fleet.resources(0);
    let answer = resources
        .send(Method::GET, "/v1/services/desk", &json!({}))
        .await;
    let stored: Value = serde_json::from_slice(&answer.body).unwrap();
    let version = stored["version"].as_u64().unwrap();
    let mut spec = stored["resource"].clone();
    spec["cold-rate"] = json!(format!("{COLD_PER_S} per second"));
    spec["health-path"] = json!("/health");
    let answer = resources.replace("/v1/services/desk", version, &spec).await;
    assert!(answer.status.is_success(), "{}", answer.text());
}

/// The coldness of the instance beside the daemon `index`, from that daemon's dump.
fn coldness(desk: &DeskFleet, index: usize) -> Value {
    let output = desk.fleet.operate(index, &["dump"]).stdout;
    let dump: Value = serde_json::from_slice(&output).unwrap();
    dump["egress"]["instances"][0]["cold"].clone()
}

async fn wait_until(desk: &DeskFleet, index: usize, is_limited: bool) {
    eventually("the coldness at the egress", async || {
        let gate = coldness(desk, index);
        !gate["rate"].is_null() && gate["bucket"].is_null() != is_limited
    })
    .await;
}

async fn ran(desk: &DeskFleet, index: usize) -> f64 {
    let client = CallerClient::open(desk.fleet.backends[index].address);
    let count = client.get("/ran/count").await.unwrap().text();
    count.parse().unwrap()
}

/// Guards against a cold instance that gets more than it takes, and against callers that are refused
/// although the other instance is warm.
#[actix_rt::test]
async fn turns_cold_under_load() {
    let desk = DeskFleet::open("cold-load", 2).await;
    set_cold_rate(&desk).await;
    wait_until(&desk, 0, false).await;
    wait_until(&desk, 1, false).await;
    let counts = Rc::<LoadCounts>::default();
    for index in [0, 1, 0, 1] {
        spawn_load(&desk, index, &counts);
    }
    eventually("load", async || counts.served.get() > 50).await;
    desk.fleet.backends[0].control(r#"{"cold":"60s"}"#).await;
    wait_until(&desk, 0, true).await;
    let (begin, before, served) = (Instant::now(), ran(&desk, 0).await, counts.served.get());
    actix_rt::time::sleep(Duration::from_secs(3)).await;
    let more = ran(&desk, 0).await - before;
    let most = COLD_PER_S * begin.elapsed().as_secs_f64() + SLACK;
    assert!(more <= most, "{more} of at most {most}");
    assert!(
        counts.served.get() > served,
        "the warm instance serves nothing"
    );
    assert_eq!(counts.refused.get(), 0);
    desk.fleet.backends[0].control(r#"{"cold":"0s"}"#).await;
    wait_until(&desk, 0, false).await;
    counts.stop.set(true);
}

/// Guards against an egress that restarts beside a running instance and sends it everything at once,
/// and against one that never learns that the instance is warm. The instance's health path says so.
#[actix_rt::test]
async fn egress_restart() {
    let mut desk = DeskFleet::open("cold-restart", 1).await;
    set_cold_rate(&desk).await;
    wait_until(&desk, 0, false).await;
    desk.fleet.backends[0].control(r#"{"cold":"60s"}"#).await;
    desk.fleet.daemons[0].restart();
    desk.fleet.daemons[0].ready().await;
    let (begin, before) = (Instant::now(), ran(&desk, 0).await);
    let caller = desk.caller(0);
    eventually("an answer", async || {
        let answer = caller.get("/lookups/1").await;
        answer.is_ok_and(|answer| answer.status == StatusCode::OK)
    })
    .await;
    let counts = Rc::<LoadCounts>::default();
    spawn_load(&desk, 0, &counts);
    spawn_load(&desk, 0, &counts);
    actix_rt::time::sleep(Duration::from_millis(1_500)).await;
    let more = ran(&desk, 0).await - before;
    let most = COLD_PER_S * begin.elapsed().as_secs_f64() + SLACK;
    assert!(more <= most, "{more} of at most {most}");
    desk.fleet.backends[0].control(r#"{"cold":"0s"}"#).await;
    wait_until(&desk, 0, false).await;
    let served = counts.served.get();
    eventually("a warm instance", async || {
        counts.served.get() > served + 50
    })
    .await;
    counts.stop.set(true);
}
