//! Instances of a service that a version of the configuration has taken away.

mod common;

use std::time::Duration;

use common::{GatedEgress, eventually, refusal};
use wagtailtrack::evacuation::ZoneGate;
use wagtailtrack::peers::PeerStream;
use wagtailtrack::wire::{EgressMessage, InstancePhase, RefusalReason};

/// Time in which a request is refused that need not wait.
const AT_ONCE: Duration = Duration::from_millis(100);

async fn open() -> GatedEgress {
    GatedEgress::open(ZoneGate::Open).await
}

/// An egress whose instance runs a request while two others wait for it.
async fn open_busy() -> (GatedEgress, Vec<PeerStream>) {
    let gated = open().await;
    let mut streams = vec![gated.offer(0, true).await];
    eventually("a running request", async || gated.arrived() == 1).await;
    streams.push(gated.offer(1, true).await);
    streams.push(gated.offer(2, false).await);
    eventually("offers", async || gated.egress.in_flight() == 3).await;
    (gated, streams)
}

/// Guards against requests that wait for an instance and reach it after it has left, because its
/// announcement was ignored while its service was not configured.
#[actix_rt::test]
async fn leave_refuses_waiting() {
    for phase in [InstancePhase::Draining, InstancePhase::Gone] {
        let (gated, mut streams) = open_busy().await;
        gated.is_configured.set(false);
        gated.announce(phase);
        assert_eq!(gated.phase.get(), phase);
        for waiting in &mut streams[1..] {
            let refused = actix_rt::time::timeout(AT_ONCE, refusal(waiting)).await;
            assert!(matches!(refused, Ok(Some(_))), "{phase:?}: {refused:?}");
        }
        let served = streams[0].receive_required().await.unwrap();
        assert!(matches!(served, EgressMessage::Head(_)), "{served:?}");
        assert_eq!(gated.arrived(), 1);
    }
}

/// Guards against an instance that left while its service was not configured and is in use once the service
/// is back, and against one that stayed and is not.
#[actix_rt::test]
async fn service_returns() {
    for phase in [
        InstancePhase::Ready,
        InstancePhase::Draining,
        InstancePhase::Gone,
    ] {
        let gated = open().await;
        gated.is_configured.set(false);
        gated.announce(phase);
        gated.is_configured.set(true);
        for number in 0..3 {
            let mut stream = gated.offer(number, true).await;
            let is_refused = refusal(&mut stream).await.is_some();
            assert_eq!(is_refused, phase != InstancePhase::Ready, "{phase:?}");
        }
    }
}

/// Guards against requests of one service that run at an instance that now belongs to another.
#[actix_rt::test]
async fn instance_changes_service() {
    let (gated, mut streams) = open_busy().await;
    gated.is_configured.set(false);
    let mut local = gated.local.clone();
    local.service = "archive".parse().unwrap();
    gated.egress.apply_announcement(&local);
    for waiting in &mut streams[1..] {
        assert!(refusal(waiting).await.is_some());
    }
    let mut late = gated.offer(3, true).await;
    let reason = refusal(&mut late).await;
    assert_eq!(reason, Some(RefusalReason::UnknownInstance));
}
