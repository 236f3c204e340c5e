//! An egress that stops starts no further request, over loopback.

mod common;

use std::time::Duration;

use common::{GatedEgress, eventually, refusal};
use wagtailtrack::evacuation::ZoneGate;
use wagtailtrack::time::ProcessClock;
use wagtailtrack::wire::{EgressMessage, IngressMessage, RefusalReason};

/// Longest time until a refusal; a held slot would expire after 2 s.
const REFUSAL_TIME: Duration = Duration::from_secs(1);

/// Guards against waiting requests that start when a slot is free, although the egress stops.
#[actix_rt::test]
async fn waiting_refused() {
    let egress = GatedEgress::open(ZoneGate::Open).await;
    let mut running = egress.offer(1, true).await;
    eventually("a running request", async || egress.arrived() == 1).await;
    let mut waiting = [egress.offer(2, true).await, egress.offer(3, false).await];
    eventually("waiting requests", async || egress.egress.in_flight() == 3).await;
    egress.egress.stop();
    for stream in &mut waiting {
        assert_eq!(refusal(stream).await, Some(RefusalReason::NotReady));
    }
    assert_eq!(refusal(&mut running).await, None, "the head of the answer");
    eventually("an idle egress", async || egress.egress.in_flight() == 0).await;
    assert_eq!(egress.arrived(), 1);
}

/// Guards against a request that holds a slot and starts when its confirmation comes, although the egress
/// stops. It is refused at once, so that it goes elsewhere in time.
#[actix_rt::test]
async fn held_refused() {
    let egress = GatedEgress::open(ZoneGate::Open).await;
    let mut held = egress.offer(1, false).await;
    let ready: EgressMessage = held.receive_required().await.unwrap();
    assert_eq!(ready, EgressMessage::Ready);
    egress.egress.stop();
    let refused = actix_rt::time::timeout(REFUSAL_TIME, refusal(&mut held)).await;
    assert_eq!(refused, Ok(Some(RefusalReason::NotReady)));
    let go = IngressMessage::Go { body: Vec::new() };
    // The stream may have ended already.
    let _ = held.send(&go).await;
    actix_rt::time::sleep(Duration::from_millis(100)).await;
    assert_eq!(egress.arrived(), 0);
}

/// Guards against a request that starts because its confirmation comes together with the stop.
#[actix_rt::test]
async fn confirmed_at_stop() {
    let egress = GatedEgress::open(ZoneGate::Open).await;
    let mut held = egress.offer(1, false).await;
    let ready: EgressMessage = held.receive_required().await.unwrap();
    assert_eq!(ready, EgressMessage::Ready);
    let go = IngressMessage::Go { body: Vec::new() };
    egress.egress.stop();
    held.send(&go).await.unwrap();
    assert_eq!(refusal(&mut held).await, Some(RefusalReason::NotReady));
    assert_eq!(egress.arrived(), 0);
}

/// Guards against a request that starts in the first seconds of a shutdown and is cut off by its end, and
/// against one that is refused although it ends before.
#[actix_rt::test]
async fn cut_off_not_started() {
    let egress = GatedEgress::open(ZoneGate::Open).await;
    let clock = ProcessClock::open();
    let mut observed = egress.offer(1, true).await;
    eventually("a complete run", async || egress.egress.in_flight() == 0).await;
    assert_eq!(refusal(&mut observed).await, None);
    // The instance takes 300 ms.
    for (millis, refused) in [(2_000, None), (100, Some(RefusalReason::NotReady))] {
        let exit_by = clock.now().after(Duration::from_millis(millis));
        egress.egress.begin_stop(exit_by);
        for is_idempotent in [true, false] {
            let mut stream = egress.offer(millis, is_idempotent).await;
            if !is_idempotent {
                let ready: EgressMessage = stream.receive_required().await.unwrap();
                assert_eq!(ready, EgressMessage::Ready);
                let go = IngressMessage::Go { body: Vec::new() };
                stream.send(&go).await.unwrap();
            }
            assert_eq!(refusal(&mut stream).await, refused, "{millis} ms");
            eventually("an idle egress", async || egress.egress.in_flight() == 0).await;
        }
    }
    assert_eq!(egress.arrived(), 3);
}
