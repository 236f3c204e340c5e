//! Zone-local routing with real daemons: two in each of two zones, with an instance beside each.

mod common;

use common::{
    BackendPlan, CallerClient, DeskFleet, FLEET_SECRET, FleetPlan, TestFleet, eventually,
    sample_offer,
};
use wagtailtrack::peers::{FleetKey, PeerPool};
use wagtailtrack::resource::RequestClass;
use wagtailtrack::wire::{EgressMessage, PeerOpening, RefusalReason, RequestOffer};

const REQUESTS: usize = 100;

/// Sends lookups through `caller` and returns how many the instances in `zone` served.
async fn served_by(caller: &CallerClient, instances: &[&str]) -> usize {
    let mut served = 0;
    for _ in 0..REQUESTS {
        let answer = caller.get("/lookups/1").await.unwrap();
        assert!(answer.status.is_success(), "{}", answer.text());
        served += usize::from(instances.contains(&answer.header("x-instance")));
    }
    served
}

/// Guards against requests that leave their zone without need, and against a zone without instances
/// that does not use those of the other zone.
#[actix_rt::test]
async fn zone_keeps_requests() {
    let plan = FleetPlan {
        zones: 2,
        tables: "[proxy]\nzone_overflow = \"local\"\n".to_owned(),
        ..FleetPlan::of(4)
    };
    let mut fleet = TestFleet::open("zones", plan).await;
    let resources = fleet.resources(0);
    resources.create_service("desk", 3).await;
    resources.create_route("lookups", "desk", "lookup").await;
    let secret = resources.create_caller("crew", 5_000, 5_000).await;
    for index in 0..4 {
        let plan = BackendPlan::new("desk", &format!("desk-{}", index + 1));
        fleet.add_backend(index, plan).await;
    }
    let caller = fleet.daemons[0].caller().with_key(&secret);
    for wanted in ["desk-1", "desk-3"] {
        eventually("an answer of each instance of the zone", async || {
            let answer = caller.get("/lookups/settle").await;
            answer.is_ok_and(|answer| answer.header("x-instance") == wanted)
        })
        .await;
    }
    // One request may have been the sample by which the ingress learns of the other zone.
    let kept = served_by(&caller, &["desk-1", "desk-3"]).await;
    assert!(kept >= REQUESTS - 1, "{kept} stayed in a zone with room");
    for index in [0, 2] {
        fleet.backends[index].process.kill();
    }
    eventually("an answer from the other zone", async || {
        let answer = caller.get("/lookups/settle").await;
        answer.is_ok_and(|answer| ["desk-2", "desk-4"].contains(&answer.header("x-instance")))
    })
    .await;
    assert_eq!(served_by(&caller, &["desk-2", "desk-4"]).await, REQUESTS);
    let metrics = CallerClient::open(fleet.daemons[0].admin());
    let text = metrics.get("/metrics").await.unwrap().text();
    let line = "zone_requests_overflowed";
    assert!(
        text.lines()
            .any(|entry| entry.contains(line) && entry.contains("desk")),
        "{text}"
    );
}

/// Guards against an offer that waits longer than it permits: the egress must refuse it at once as
/// busy and name the wait, and take it where it permits the wait.
#[actix_rt::test]
async fn long_wait_refused() {
    let desk = DeskFleet::open_with("zones-wait", FleetPlan::of(1), |plan| {
        plan.slots = 1;
        plan.service_time = "400ms".to_owned();
    })
    .await;
    let peers = PeerPool::open(FleetKey::open(FLEET_SECRET));
    let mut streams = Vec::new();
    let mut replies = Vec::new();
    for (number, max_wait_micros) in [(1, u64::MAX), (2, 1_000), (3, 10_000_000)] {
        let offer = RequestOffer {
            request: wagtailtrack::ids::RequestId(number),
            route: "lookups".parse().unwrap(),
            class: RequestClass::Lookup,
            idempotent: true,
            max_wait_micros,
            remaining_micros: 20_000_000,
            method: "GET".to_owned(),
            target: "/lookups/1".to_owned(),
            ..sample_offer()
        };
        let mut stream = peers
            .open_stream(desk.fleet.daemons[0].peers())
            .await
            .unwrap();
        let opening = PeerOpening::Request(Box::new(offer));
        stream.send(&opening).await.unwrap();
        match number {
            2 => replies.push(stream.receive_required::<EgressMessage>().await.unwrap()),
            _ => streams.push(stream),
        }
        // The next offer must arrive after this one.
        actix_rt::time::sleep(std::time::Duration::from_millis(50)).await;
    }
    let EgressMessage::Refused {
        reason: RefusalReason::Busy,
        retry_after_micros,
        ..
    } = &replies[0]
    else {
        panic!("{:?}", replies[0]);
    };
    assert!(
        (1_000..10_000_000).contains(retry_after_micros),
        "{retry_after_micros}"
    );
    for stream in &mut streams {
        let reply = stream.receive_required::<EgressMessage>().await.unwrap();
        assert!(matches!(reply, EgressMessage::Head(_)), "{reply:?}");
    }
}
