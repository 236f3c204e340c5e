//! Drain, failure and return of instances in a fleet of real processes.
//!
//! Guards against requests that start on an instance after its egress has learned that it drains or
//! that its lease has expired.

mod common;

use std::cell::Cell;
use std::ops::Range;
use std::rc::Rc;
use std::time::Duration;

use awc::http::{Method, StatusCode};
use common::{
    CallerClient, DaemonProcess, DeskFleet, FLEET_SECRET, FleetPlan, eventually, sample_offer,
};
use serde_json::Value;
use wagtailtrack::ids::{BootId, RequestId};
use wagtailtrack::peers::{FleetKey, PeerPool};
use wagtailtrack::resource::RequestClass;
use wagtailtrack::wire::{EgressMessage, PeerOpening, RefusalReason, RequestOffer};

const LOAD_INTERVAL: Duration = Duration::from_millis(20);

/// The phase of the instance of the daemon `index`, from that daemon's dump.
fn phase_at(desk: &DeskFleet, index: usize) -> String {
    let output = desk.fleet.operate(index, &["dump"]).stdout;
    let dump: Value = serde_json::from_slice(&output).unwrap();
    let phase = dump["egress"]["instances"][0]["phase"].as_str();
    phase.unwrap_or("none").to_owned()
}

/// Waits until the egress `index` has its instance in `phase`.
async fn wait_for_phase(desk: &DeskFleet, index: usize, phase: &str) {
    eventually("the phase at the egress", async || {
        phase_at(desk, index) == phase
    })
    .await;
}

/// Number of requests that the instance `index` has run, read once it no longer grows.
async fn settled_runs(desk: &DeskFleet, index: usize) -> usize {
    let mut before = desk.fleet.backends[index].ran().await.len();
    loop {
        actix_rt::time::sleep(Duration::from_millis(300)).await;
        let after = desk.fleet.backends[index].ran().await.len();
        if after == before {
            return after;
        }
        before = after;
    }
}

/// Sends lookups through the daemon `index` until `stop` is set. Each must succeed.
fn spawn_load(desk: &DeskFleet, index: usize, responses: &Rc<Cell<usize>>, stop: &Rc<Cell<bool>>) {
    let caller = desk.caller(index);
    let (responses, stop) = (Rc::clone(responses), Rc::clone(stop));
    actix_rt::spawn(async move {
        while !stop.get() {
            let response = caller.get("/lookups/1").await.unwrap();
            assert_eq!(response.status, StatusCode::OK, "{}", response.text());
            responses.set(responses.get() + 1);
            actix_rt::time::sleep(LOAD_INTERVAL).await;
        }
    });
}

/// Waits for `more` further responses.
async fn wait_for_responses(responses: &Rc<Cell<usize>>, more: usize) {
    let goal = responses.get() + more;
    eventually("more responses", async || responses.get() >= goal).await;
}

/// No request starts on a draining instance once its egress knows of the drain, and no caller gets
/// an error.
#[actix_rt::test]
async fn drain_under_load() {
    let desk = DeskFleet::open("announce-drain", 3).await;
    let (responses, stop) = (Rc::default(), Rc::default());
    for index in 0..3 {
        spawn_load(&desk, index, &responses, &stop);
    }
    wait_for_responses(&responses, 30).await;
    desk.fleet.backends[1]
        .control(r#"{"phase":"draining"}"#)
        .await;
    wait_for_phase(&desk, 1, "draining").await;
    let runs = settled_runs(&desk, 1).await;
    wait_for_responses(&responses, 60).await;
    assert_eq!(settled_runs(&desk, 1).await, runs);
    stop.set(true);
}

/// Offers a request directly to the egress of the instance `desk-2`, as an ingress with a stale
/// view would, and returns the first reply.
async fn first_reply(desk: &DeskFleet, peers: &PeerPool, number: u64) -> EgressMessage {
    let offer = RequestOffer {
        boot: BootId(77),
        request: RequestId(number),
        instance: "desk-2".parse().unwrap(),
        route: "lookups".parse().unwrap(),
        class: RequestClass::Lookup,
        idempotent: number.is_multiple_of(2),
        remaining_micros: 5_000_000,
        goal_micros: None,
        account_weight: 1,
        method: "GET".to_owned(),
        target: "/lookups/1".to_owned(),
        ..sample_offer()
    };
    let egress = desk.fleet.daemons[1].peers();
    let mut stream = peers.open_stream(egress).await.unwrap();
    stream
        .send(&PeerOpening::Request(Box::new(offer)))
        .await
        .unwrap();
    stream.receive_required().await.unwrap()
}

/// The egress refuses offers of ingresses with stale views, after a drain and after the lease
/// expired.
#[actix_rt::test]
async fn stale_offers_refused() {
    let desk = DeskFleet::open("announce-stale", 2).await;
    let peers = PeerPool::open(FleetKey::open(FLEET_SECRET));
    for number in 0..4 {
        let reply = first_reply(&desk, &peers, number).await;
        assert!(!matches!(reply, EgressMessage::Refused { .. }), "{reply:?}");
    }
    let runs_before = settled_runs(&desk, 1).await;
    desk.fleet.backends[1].process.pause();
    wait_for_phase(&desk, 1, "draining").await;
    assert_all_refused(&desk, &peers, 10..20).await;
    desk.fleet.backends[1].process.resume();
    wait_for_phase(&desk, 1, "ready").await;
    let drain = r#"{"phase":"draining"}"#;
    desk.fleet.backends[1].control(drain).await;
    wait_for_phase(&desk, 1, "draining").await;
    assert_all_refused(&desk, &peers, 20..30).await;
    assert_eq!(settled_runs(&desk, 1).await, runs_before);
}

async fn assert_all_refused(desk: &DeskFleet, peers: &PeerPool, numbers: Range<u64>) {
    for number in numbers {
        let reply = first_reply(desk, peers, number).await;
        let is_refused = matches!(
            reply,
            EgressMessage::Refused {
                reason: RefusalReason::NotReady,
                ..
            }
        );
        assert!(is_refused, "{reply:?}");
    }
}

/// Requests in the queue of an instance that drains do not start on it. Each runs exactly
/// once in the fleet, or is reported as not run.
#[actix_rt::test]
async fn queued_requests_leave_draining_instance() {
    let desk = DeskFleet::open_with("announce-queue", FleetPlan::of(2), |plan| {
        plan.slots = 1;
        plan.service_time = "2s".to_owned();
    })
    .await;
    let caller = desk.caller(0).with_header("x-deadline-ms", "30000");
    let calls: Vec<_> = (0..8)
        .map(|number| {
            let caller = caller.clone();
            actix_rt::spawn(async move {
                let tag = format!("queued-{number}");
                let sending = caller.send(Method::POST, "/filings", &tag, b"filing");
                let response = sending.await.unwrap();
                (tag, response)
            })
        })
        .collect();
    let queued = |desk: &DeskFleet| {
        let output = desk.fleet.operate(1, &["dump"]).stdout;
        let dump: Value = serde_json::from_slice(&output).unwrap();
        dump["egress"]["under_way"].as_u64().unwrap() >= 2
    };
    eventually("a queue", async || queued(&desk)).await;
    desk.fleet.backends[1]
        .control(r#"{"phase":"draining"}"#)
        .await;
    wait_for_phase(&desk, 1, "draining").await;
    let runs = settled_runs(&desk, 1).await;
    for call in calls {
        let (tag, response) = call.await.unwrap();
        let times = desk.times_ran(&tag).await;
        match response.verdict() {
            "not-run" => assert_eq!(times, 0, "{tag}: {}", response.text()),
            _ => assert_eq!(times, 1, "{tag}: {}", response.text()),
        }
    }
    assert_eq!(
        settled_runs(&desk, 1).await,
        runs,
        "a request started after the drain"
    );
}

/// An instance whose process is paused loses its lease and gets no requests; it gets them again
/// after it has renewed the lease.
#[actix_rt::test]
async fn expired_lease() {
    let desk = DeskFleet::open("announce-lease", 2).await;
    desk.fleet.backends[1].process.pause();
    wait_for_phase(&desk, 1, "draining").await;
    for _ in 0..20 {
        let response = desk.caller(0).get("/lookups/1").await.unwrap();
        assert_eq!(response.header("x-instance"), "desk-1");
    }
    desk.fleet.backends[1].process.resume();
    wait_for_phase(&desk, 1, "ready").await;
}

/// After a daemon was killed and restarted, its instance registers again and gets requests from the
/// whole fleet.
#[actix_rt::test]
async fn daemon_restarts() {
    let mut desk = DeskFleet::open("announce-restart", 2).await;
    desk.fleet.daemons[1].restart();
    desk.fleet.daemons[1].ready().await;
    wait_for_phase(&desk, 1, "ready").await;
    for index in 0..2 {
        let caller = desk.caller(index);
        eventually("a response of the instance", async || {
            let response = caller.get("/lookups/1").await;
            response.is_ok_and(|response| response.header("x-instance") == "desk-2")
        })
        .await;
    }
}

/// Garbage on the UDP port for peers is dropped and counted, and the daemon keeps serving.
#[actix_rt::test]
async fn garbage_dropped() {
    let desk = DeskFleet::open("announce-garbage", 1).await;
    let socket = std::net::UdpSocket::bind("127.0.0.1:0").unwrap();
    for length in [0, 1, 15, 16, 17, 300, 1200, 1201, 9000] {
        let bytes = vec![0x5a; length];
        socket
            .send_to(&bytes, desk.fleet.daemons[0].peers())
            .unwrap();
    }
    eventually("the count of dropped datagrams", async || {
        let output = desk.fleet.operate(0, &["dump"]).stdout;
        let dump: Value = serde_json::from_slice(&output).unwrap();
        let counters = &dump["members"]["counters"];
        let counts = [counters["forged"].as_u64(), counters["malformed"].as_u64()];
        counts == [Some(4), Some(5)]
    })
    .await;
    let response = desk.caller(0).get("/lookups/1").await.unwrap();
    assert_eq!(response.status, StatusCode::OK);
}

/// What happens to the daemons between a leave and a late announcement.
#[derive(Debug, Clone, Copy)]
enum Disruption {
    KillOne,
    KillAll,
    Pause,
}

/// Guards against an instance that has left and that a late announcement brings back, because the process
/// that acknowledged the leave was killed or paused.
#[actix_rt::test]
async fn late_announcement_after_restart() {
    let disruptions = [Disruption::KillOne, Disruption::KillAll, Disruption::Pause];
    for disruption in disruptions {
        check_late_announcement(disruption).await;
    }
}

async fn check_late_announcement(disruption: Disruption) {
    const LEAVING: &str = "/v1/instances/desk-leaving";
    let name = format!("announce-late-{disruption:?}").to_lowercase();
    let mut desk = DeskFleet::open(&name, 2).await;
    let address = desk.fleet.backends[1].address;
    let started = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    let started_millis = started.unwrap().as_millis();
    let announce = async |desk: &DeskFleet, sequence: u32| {
        let body = format!(
            r#"{{"service":"desk","address":"{address}","phase":"ready","slots":3,"lease":"12s","order":{{"started_millis":{started_millis},"sequence":{sequence}}}}}"#
        );
        let client = CallerClient::open(desk.fleet.daemons[1].announce());
        let answer = client.send(Method::PUT, LEAVING, "", body.as_bytes()).await;
        answer.unwrap().status
    };
    assert_eq!(announce(&desk, 1).await, StatusCode::OK);
    let client = CallerClient::open(desk.fleet.daemons[1].announce());
    let left = client.send(Method::DELETE, LEAVING, "", b"").await.unwrap();
    assert_eq!(left.status, StatusCode::OK);
    match disruption {
        Disruption::KillOne => desk.fleet.daemons[1].restart(),
        Disruption::KillAll => desk
            .fleet
            .daemons
            .iter_mut()
            .for_each(DaemonProcess::restart),
        Disruption::Pause => {
            desk.fleet.daemons[1].process.pause();
            actix_rt::time::sleep(Duration::from_secs(1)).await;
            desk.fleet.daemons[1].process.resume();
        }
    }
    for daemon in &mut desk.fleet.daemons {
        daemon.ready().await;
    }
    // They confirm each other to a process that knows nothing of the leave.
    for sequence in 2..5 {
        announce(&desk, sequence).await;
        actix_rt::time::sleep(Duration::from_secs(1)).await;
    }
    let answer = client.get("/v1/instances").await.unwrap();
    let instances: Vec<Value> = serde_json::from_slice(&answer.body).unwrap();
    let leaving = instances
        .iter()
        .find(|instance| instance["instance"] == "desk-leaving");
    let phase = leaving.map(|instance| instance["phase"].as_str().unwrap().to_owned());
    assert_ne!(phase.as_deref(), Some("ready"), "{disruption:?}");
}
