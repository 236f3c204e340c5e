//! Evacuation of an availability zone with real processes, by the operators' client.

mod common;

use awc::http::Method;
use common::{DeskFleet, FleetPlan, eventually};

const ZONES: usize = 3;
/// Requests through each daemon in one round.
const ROUND: usize = 20;

async fn open(name: &str) -> DeskFleet {
    let plan = FleetPlan {
        daemons: ZONES,
        zones: ZONES,
        ..FleetPlan::default()
    };
    DeskFleet::open_with(name, plan, |_| {}).await
}

/// Runs the operators' client and returns whether it succeeded, with its output.
fn operate(desk: &DeskFleet, arguments: &[&str]) -> (bool, String) {
    let output = desk.fleet.operate(0, arguments);
    let text = [output.stdout, output.stderr].concat();
    let text = String::from_utf8_lossy(&text).into_owned();
    (output.status.success(), text)
}

/// Runs `zone ACTION ZONE` and waits until the change is in force everywhere.
fn change_zone(desk: &DeskFleet, action: &str, zone: &str) {
    let (is_done, text) = operate(desk, &["--wait", "20s", "zone", action, zone]);
    assert!(is_done, "{text}");
    assert!(text.contains("in force on all 3 live daemons"), "{text}");
}

/// Requests that the instance beside the daemon `index` has run.
async fn ran(desk: &DeskFleet, index: usize) -> usize {
    desk.fleet.backends[index].ran().await.len()
}

/// Offers that the egress of the first daemon refused because of an evacuation.
async fn refused_offers(desk: &DeskFleet) -> u64 {
    let dump = desk.fleet.daemons[0].operator().get("/dump").await.unwrap();
    let dump: serde_json::Value = serde_json::from_slice(&dump.body).unwrap();
    dump["egress"]["evacuation_refusals"].as_u64().unwrap()
}

/// Sends lookups and filings through every daemon; all must be served.
async fn serve_round(desk: &DeskFleet) {
    for index in 0..ZONES {
        let caller = desk.caller(index);
        for number in 0..ROUND {
            let (method, target) = match number % 2 {
                0 => (Method::GET, "/lookups/1"),
                _ => (Method::POST, "/filings"),
            };
            let answer = caller.send(method, target, "round", b"").await.unwrap();
            assert_eq!(answer.verdict(), "ran", "{}", answer.text());
        }
    }
}

/// Guards against requests to the instances of an evacuated zone, from any daemon and after a restart
/// or an outage of the platform; against callers of the zone's own daemons that are turned away; and
/// against a zone that gets nothing after it was put back.
#[actix_rt::test]
async fn zone_out_and_back() {
    let mut desk = open("evacuation-zone").await;
    change_zone(&desk, "evacuate", "z1");
    let before = ran(&desk, 0).await;
    serve_round(&desk).await;
    assert_eq!(ran(&desk, 0).await, before);
    assert_eq!(
        refused_offers(&desk).await,
        0,
        "ingresses offer to the zone"
    );
    let ready = desk.fleet.daemons[0].operator().get("/readyz").await;
    assert!(ready.unwrap().status.is_success(), "the daemon stays ready");
    let metrics = desk.fleet.daemons[0].operator().get("/metrics").await;
    let metrics = metrics.unwrap().text();
    assert!(metrics.contains("zones_evacuated"), "{metrics}");

    desk.fleet.daemons[0].process.crash();
    desk.fleet.daemons[0].restart();
    desk.fleet.daemons[0].ready().await;
    eventually("the instance known again", async || {
        let dump = desk.fleet.daemons[0].operator().get("/dump").await.unwrap();
        let dump: serde_json::Value = serde_json::from_slice(&dump.body).unwrap();
        let instances = dump["egress"]["instances"].as_array().unwrap();
        instances.len() == 1
    })
    .await;
    // A daemon that has just started refuses requests until its configuration is confirmed.
    eventually("the configuration confirmed", async || {
        let answer = desk.caller(0).get("/lookups/1").await;
        answer.is_ok_and(|answer| answer.status.is_success())
    })
    .await;
    serve_round(&desk).await;
    desk.fleet.platform_mode("\"down\"").await;
    serve_round(&desk).await;
    desk.fleet.platform_mode("\"up\"").await;
    assert_eq!(ran(&desk, 0).await, before);

    let (_, listed) = operate(&desk, &["zone", "list"]);
    assert!(listed.contains("z1") && !listed.contains("z2"), "{listed}");
    change_zone(&desk, "restore", "z1");
    eventually("requests to the zone that is back", async || {
        serve_round(&desk).await;
        ran(&desk, 0).await > before
    })
    .await;
}

/// Guards against requests that wait for their deadline when no zone is left, and against a refusal
/// that does not promise that nothing has run or does not say when to come back.
#[actix_rt::test]
async fn no_zone_left() {
    let desk = open("evacuation-all").await;
    for zone in ["z1", "z2", "z3"] {
        change_zone(&desk, "evacuate", zone);
    }
    for index in 0..ZONES {
        let answer = desk.caller(index).get("/lookups/1").await.unwrap();
        assert_eq!(answer.status.as_u16(), 503, "{}", answer.text());
        assert_eq!(answer.verdict(), "not-run");
        assert!(answer.text().contains("evacuated"), "{}", answer.text());
        assert_eq!(answer.header("retry-after"), "1");
    }
    change_zone(&desk, "restore", "z2");
    serve_round(&desk).await;
}

/// Guards against a zone that does not exist and is taken for evacuated: the operator's client must
/// fail and name the zones that exist, and nothing may change.
#[actix_rt::test]
async fn unknown_zone() {
    let desk = open("evacuation-unknown").await;
    for action in ["evacuate", "restore"] {
        let (is_done, text) = operate(&desk, &["zone", action, "z9"]);
        assert!(!is_done, "{text}");
        assert!(
            text.contains("the existing zones are: z1, z2, z3"),
            "{text}"
        );
    }
    let (_, listed) = operate(&desk, &["zone", "list"]);
    assert_eq!(listed.trim(), "none");
}
