//! The configuration through real daemons: outages, restarts and withdrawn keys.

mod common;

use std::time::{Duration, Instant};

use common::{FleetPlan, RelayMode, TestFleet, eventually};
use wagtailtrack::resource::KeyHash;

const DAEMONS: usize = 3;

fn good(fleet: &TestFleet, daemon: usize, arguments: &[&str]) -> String {
    let output = fleet.operate(daemon, arguments);
    let errors = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(output.status.success(), "{arguments:?}: {errors}");
    String::from_utf8(output.stdout).unwrap()
}

async fn open(name: &str) -> (TestFleet, String) {
    let fleet = TestFleet::open(name, FleetPlan::of(DAEMONS)).await;
    eventually("members that know each other", async || {
        let mut known = true;
        for index in 0..DAEMONS {
            known &= members(&fleet, index).await >= DAEMONS as u64;
        }
        known
    })
    .await;
    good(&fleet, 0, &["create", "account", "crew-1"]);
    let service = [
        "create",
        "service",
        "desk",
        "floor=60%",
        "slots=3",
        "retry-budget=10%",
        "weights.lookup=10",
        "weights.filing=20",
        "weights.extract=5",
        "weights.internal-check=9",
    ];
    good(&fleet, 1, &service);
    good(
        &fleet,
        2,
        &[
            "create",
            "rate",
            "crew-1",
            "rate=100 per second",
            "burst=100",
        ],
    );
    let route = [
        "create",
        "route",
        "lookups",
        "prefix=/lookups",
        "service=desk",
        "class=lookup",
        "access=all",
    ];
    good(&fleet, 0, &route);
    let issue = [
        "--json",
        "--wait",
        "10s",
        "key",
        "issue",
        "k1",
        "--account",
        "crew-1",
    ];
    let issued: serde_json::Value = serde_json::from_str(&good(&fleet, 1, &issue)).unwrap();
    assert_eq!(issued["in_force"]["confirmed"], DAEMONS as u64, "{issued}");
    let secret = issued["secret"].as_str().unwrap().to_owned();
    (fleet, secret)
}

async fn dump(fleet: &TestFleet, index: usize) -> serde_json::Value {
    let answer = fleet.daemons[index].operator().get("/dump").await.unwrap();
    serde_json::from_slice(&answer.body).unwrap()
}

async fn members(fleet: &TestFleet, index: usize) -> u64 {
    let dump = dump(fleet, index).await;
    dump["config"]["live_daemons"].as_u64().unwrap()
}

/// How a daemon took a caller's key.
#[derive(Debug, PartialEq, Eq)]
enum KeyAnswer {
    /// It is good; no instance is there to answer.
    Good,
    /// It is unknown or withdrawn.
    Dead,
    /// The daemon does not trust its configuration.
    NotCurrent,
}

async fn ask(fleet: &TestFleet, index: usize, secret: &str) -> KeyAnswer {
    let caller = fleet.daemons[index].caller().with_key(secret);
    let answer = caller.get("/lookups/1").await.unwrap();
    match (answer.status.as_u16(), answer.text()) {
        (401, _) => KeyAnswer::Dead,
        (503, text) if text.contains("no instance") => KeyAnswer::Good,
        (503, text) if text.contains("no current configuration") => KeyAnswer::NotCurrent,
        other => panic!("unexpected {other:?}"),
    }
}

#[actix_rt::test]
async fn withdrawn_key() {
    let (mut fleet, secret) = open("withdrawn").await;
    for index in 0..DAEMONS {
        assert_eq!(ask(&fleet, index, &secret).await, KeyAnswer::Good);
    }
    good(&fleet, 0, &["key", "withdraw", "k1"]);
    fleet.platform.kill();
    let accepted = Instant::now();
    eventually("a key that is dead everywhere", async || {
        let mut is_dead = true;
        for index in 0..DAEMONS {
            is_dead &= ask(&fleet, index, &secret).await == KeyAnswer::Dead;
        }
        is_dead
    })
    .await;
    println!("dead everywhere after {:?}", accepted.elapsed());
}

#[actix_rt::test]
async fn platform_away() {
    let (mut fleet, secret) = open("away").await;
    fleet.platform_relay.set(RelayMode::Cut);
    let refused = fleet.operate(0, &["create", "account", "crew-2"]);
    assert_eq!(refused.status.code(), Some(5), "{refused:?}");
    fleet.daemons[2].restart();
    fleet.daemons[2].ready().await;
    let restarted = dump(&fleet, 2).await;
    assert_eq!(restarted["config"]["revision"], 5, "{restarted}");
    // Longer than a confirmation lasts: the fleet goes on by hearing itself.
    actix_rt::time::sleep(Duration::from_secs(11)).await;
    for index in 0..DAEMONS {
        let dump = dump(&fleet, index).await;
        assert_eq!(dump["config"]["freshness"], "outage", "{index}: {dump}");
        assert_eq!(ask(&fleet, index, &secret).await, KeyAnswer::Good);
        assert_eq!(ask(&fleet, index, "no key").await, KeyAnswer::Dead);
    }
    fleet.platform_relay.set(RelayMode::Pass);
    eventually("an accepted change", async || {
        fleet
            .operate(1, &["--operation", "op-3", "create", "account", "crew-3"])
            .status
            .success()
    })
    .await;
    let hash = KeyHash::of_secret(&secret).to_string();
    assert!(good(&fleet, 2, &["list", "key"]).contains(&hash));
}

/// A frozen daemon learns of the withdrawal late, but never admits by what it knew before.
#[actix_rt::test]
async fn frozen_daemon() {
    let (fleet, secret) = open("frozen").await;
    fleet.daemons[2].process.pause();
    good(&fleet, 0, &["key", "withdraw", "k1"]);
    actix_rt::time::sleep(Duration::from_secs(11)).await;
    fleet.daemons[2].process.resume();
    assert_ne!(ask(&fleet, 2, &secret).await, KeyAnswer::Good);
    eventually("a dead key", async || {
        ask(&fleet, 2, &secret).await == KeyAnswer::Dead
    })
    .await;
}
