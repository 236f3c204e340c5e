//! The egress beside an instance as the last gate before an evacuated zone, over loopback.

mod common;

use std::time::Duration;

use common::{GatedEgress, eventually, refusal};
use wagtailtrack::evacuation::ZoneGate;
use wagtailtrack::wire::{EgressMessage, HealthState, IngressMessage, RefusalReason};

/// Guards against an egress that serves before it knows the evacuations, as after a restart during one.
#[actix_rt::test]
async fn unknown_zone_refuses() {
    let egress = GatedEgress::open(ZoneGate::Unknown).await;
    let mut offered = egress.offer(1, true).await;
    assert_eq!(refusal(&mut offered).await, Some(RefusalReason::NotReady));
    egress.gate.set(ZoneGate::Evacuated);
    let mut offered = egress.offer(2, true).await;
    assert_eq!(refusal(&mut offered).await, Some(RefusalReason::Evacuated));
    assert_eq!(egress.arrived(), 0);
    assert_eq!(egress.egress.evacuation_refusals(), 1);
}

/// Guards against a request that waits, and one that holds a slot, reaching the instance after the zone
/// was evacuated, and against a running one that is cut off.
#[actix_rt::test]
async fn waiting_and_held_refused() {
    let egress = GatedEgress::open(ZoneGate::Open).await;
    let mut running = egress.offer(1, true).await;
    eventually("a running request", async || egress.arrived() == 1).await;
    let mut waiting = egress.offer(2, true).await;
    eventually("a waiting request", async || egress.egress.in_flight() == 2).await;
    egress.gate.set(ZoneGate::Evacuated);
    assert_eq!(refusal(&mut waiting).await, Some(RefusalReason::Evacuated));
    assert_eq!(refusal(&mut running).await, None, "the head of the answer");

    let egress = GatedEgress::open(ZoneGate::Open).await;
    let mut held = egress.offer(3, false).await;
    let ready: EgressMessage = held.receive_required().await.unwrap();
    assert_eq!(ready, EgressMessage::Ready);
    egress.gate.set(ZoneGate::Evacuated);
    let go = IngressMessage::Go {
        body: b"filing".to_vec(),
    };
    held.send(&go).await.unwrap();
    assert_eq!(refusal(&mut held).await, Some(RefusalReason::Evacuated));
    assert_eq!(egress.arrived(), 0);
}

/// Guards against a zone that takes its full load at once when it is put back: the fleet knows the
/// instances as ramping before.
#[actix_rt::test]
async fn returns_by_ramp() {
    let egress = GatedEgress::open(ZoneGate::Evacuated).await;
    let is_ramping = || matches!(egress.health.get(), HealthState::Ramping(_));
    eventually("a published ramp", async || is_ramping()).await;
    egress.gate.set(ZoneGate::Open);
    actix_rt::time::sleep(Duration::from_millis(100)).await;
    assert!(is_ramping(), "{:?}", egress.health.get());
    let mut offered = egress.offer(1, true).await;
    assert_eq!(refusal(&mut offered).await, None);
    assert_eq!(egress.arrived(), 1);
}
