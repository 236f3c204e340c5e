//! The wider faults, two at a time, through real processes.

mod common;

use std::time::Duration;

use awc::http::{Method, StatusCode};
use common::{DeskFleet, FleetPlan, RelayMode, eventually};
use serde_json::{Value, json};

const OPERATORS: usize = 8;

async fn lookup_works(desk: &DeskFleet, index: usize) -> bool {
    let answer = desk.caller(index).get("/lookups/1").await;
    answer.is_ok_and(|answer| answer.status == StatusCode::OK)
}

/// Sends lookups through the daemon 0 and returns how many got the whole answer.
async fn whole_lookups(desk: &DeskFleet, count: usize) -> usize {
    let mut whole = 0;
    for number in 0..count {
        let tag = format!("look-{number}");
        let answer = desk
            .caller(0)
            .send(Method::GET, "/lookups/1", &tag, b"")
            .await;
        whole += usize::from(answer.is_ok_and(|answer| answer.answers(&tag, b"")));
    }
    whole
}

fn health_of(desk: &DeskFleet, index: usize) -> String {
    let dump = desk.fleet.operate(index, &["dump"]);
    let dump: Value = serde_json::from_slice(&dump.stdout).unwrap();
    dump["egress"]["instances"][0]["health"].to_string()
}

/// A silent link and a platform that is away: requests go on over new connections.
#[actix_rt::test]
async fn silent_while_away() {
    let mut plan = FleetPlan::of(2);
    plan.has_relays = true;
    let desk = DeskFleet::open_with("faults-silent", plan, |_| {}).await;
    desk.fleet.platform_mode("\"down\"").await;
    for relay in &desk.fleet.request_relays {
        relay.set(RelayMode::Silent);
    }
    eventually("answers over new connections", async || {
        whole_lookups(&desk, 10).await == 10
    })
    .await;
}

/// A slow platform and a flapping instance: it is ejected, and lookups get their answers.
#[actix_rt::test]
async fn flapping_while_slow() {
    let desk = DeskFleet::open("faults-flapping", 3).await;
    desk.fleet.platform_mode("{\"slow\":1500}").await;
    desk.fleet.backends[1]
        .fault("{\"flapping\":\"600ms\"}")
        .await;
    eventually("an ejection", async || {
        whole_lookups(&desk, 20).await;
        health_of(&desk, 1).contains("ejected")
    })
    .await;
    assert!(whole_lookups(&desk, 40).await >= 38);
    desk.fleet.backends[1].fault("\"normal\"").await;
    eventually("a readmission", async || {
        whole_lookups(&desk, 10).await;
        health_of(&desk, 1).contains("healthy")
    })
    .await;
}

/// Operators race each other while the platform loses answers: one change a version, none lost.
#[actix_rt::test]
async fn racing_operators() {
    let desk = DeskFleet::open("faults-race", 2).await;
    let before = rate_version(&desk).await;
    let head = change_revision(&desk, "before").await;
    desk.fleet.platform_mode("\"lose-answers\"").await;
    let races = (0..OPERATORS).map(|number| {
        let resources = desk.fleet.resources(number % 2);
        async move {
            let rate = format!("{} per second", 100 + number);
            let limit = json!({"account": "crew", "rate": rate, "burst": 100});
            resources.replace("/v1/rates/crew", before, &limit).await
        }
    });
    let answers = futures_util::future::join_all(races).await;
    desk.fleet.platform_mode("\"up\"").await;
    let accepted = answers
        .iter()
        .filter(|answer| answer.status.is_success())
        .count();
    assert!(
        accepted <= 1,
        "{accepted} changes of one version were accepted"
    );
    for answer in &answers {
        let status = answer.status.as_u16();
        assert!(
            matches!(status, 200 | 409 | 412 | 503),
            "{status}: {}",
            answer.text()
        );
    }
    let changes = change_revision(&desk, "after").await - head - 1;
    assert!(changes <= 1, "{changes} changes of one version took effect");
    assert!(accepted == 0 || changes == 1, "an accepted change is lost");
    assert_eq!(rate_version(&desk).await > before, changes == 1);
}

/// The revision of a change made now, which tells how many were made before it.
async fn change_revision(desk: &DeskFleet, account: &str) -> u64 {
    let resources = desk.fleet.resources(0);
    let mut revision = 0;
    eventually("an accepted change", async || {
        let body = json!({"id": account});
        let answer = resources.send(Method::POST, "/v1/accounts", &body).await;
        let change: Value = serde_json::from_slice(&answer.body).unwrap();
        revision = change["revision"].as_u64().unwrap_or(0);
        revision > 0
    })
    .await;
    revision
}

async fn rate_version(desk: &DeskFleet) -> u64 {
    let resources = desk.fleet.resources(0);
    let answer = resources
        .send(Method::GET, "/v1/rates/crew", &json!({}))
        .await;
    let rate: Value = serde_json::from_slice(&answer.body).unwrap();
    rate["version"].as_u64().unwrap()
}

/// A daemon restarts while the platform is away: it hears the configuration from its peers.
#[actix_rt::test]
async fn restart_while_away() {
    let mut desk = DeskFleet::open("faults-restart", 3).await;
    desk.fleet.platform_mode("\"down\"").await;
    let restarted = &mut desk.fleet.daemons[0];
    restarted.restart();
    restarted.ready().await;
    eventually("answers", async || lookup_works(&desk, 0).await).await;
    let filed = desk.file(0, "after-restart").await.unwrap();
    assert!(
        filed.answers("after-restart", b"after-restart"),
        "{}",
        filed.text()
    );
}

/// The platform's connection goes silent and an instance freezes: both are got round.
#[actix_rt::test]
async fn frozen_while_silent() {
    let desk = DeskFleet::open("faults-frozen", 3).await;
    desk.fleet.platform_relay.set(RelayMode::Silent);
    desk.fleet.backends[2].fault("\"frozen\"").await;
    eventually("an ejection", async || {
        whole_lookups(&desk, 10).await;
        health_of(&desk, 2).contains("ejected")
    })
    .await;
    actix_rt::time::sleep(Duration::from_millis(200)).await;
    assert_eq!(whole_lookups(&desk, 30).await, 30);
    let resources = desk.fleet.resources(1);
    eventually("an accepted change", async || {
        let account = json!({"id": "late"});
        let answer = resources.send(Method::POST, "/v1/accounts", &account).await;
        matches!(answer.status.as_u16(), 201 | 200 | 409 | 412)
    })
    .await;
}
