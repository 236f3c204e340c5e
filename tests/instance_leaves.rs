//! Requests that hold a slot of an instance while it leaves.

mod common;

use std::time::Duration;

use common::{GatedEgress, refusal};
use wagtailtrack::evacuation::ZoneGate;
use wagtailtrack::wire::{EgressMessage, IngressMessage, RefusalReason};

/// Time in which a request is refused that need not wait; a held slot would expire after 2 s.
const AT_ONCE: Duration = Duration::from_millis(500);
const PART_BYTES: usize = 1_000;

/// Guards against a request that holds a slot and is sent to an instance that has left meanwhile.
#[actix_rt::test]
async fn held_request_refused() {
    let gated = GatedEgress::open(ZoneGate::Open).await;
    let mut stream = gated.offer(0, false).await;
    let ready = stream.receive_required().await.unwrap();
    assert!(matches!(ready, EgressMessage::Ready), "{ready:?}");
    gated.accepts_work.set(false);
    stream
        .send(&IngressMessage::Go { body: Vec::new() })
        .await
        .unwrap();
    assert_eq!(refusal(&mut stream).await, Some(RefusalReason::NotReady));
    assert_eq!(gated.arrived(), 0);
}

/// Guards against an upload that reaches an instance seconds after it has left, once its body is complete, and
/// against one that is received to its end to be refused.
#[actix_rt::test]
async fn upload_refused() {
    let gated = GatedEgress::open(ZoneGate::Open).await;
    let mut stream = gated.offer_long(0, 3 * PART_BYTES as u64).await;
    let ready = stream.receive_required().await.unwrap();
    assert!(matches!(ready, EgressMessage::Ready), "{ready:?}");
    let go = IngressMessage::Go { body: Vec::new() };
    stream.send(&go).await.unwrap();
    for accepts_work in [true, false] {
        gated.accepts_work.set(accepts_work);
        let part = IngressMessage::BodyPart(vec![b'x'; PART_BYTES]);
        stream.send(&part).await.unwrap();
        actix_rt::time::sleep(Duration::from_millis(50)).await;
    }
    let refused = actix_rt::time::timeout(AT_ONCE, refusal(&mut stream)).await;
    assert_eq!(refused, Ok(Some(RefusalReason::NotReady)));
    assert_eq!(gated.arrived(), 0);
}
