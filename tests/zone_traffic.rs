//! Counters of the bytes between availability zones.

use std::rc::Rc;
use std::time::Duration;

use wagtailtrack::peers::{
    FleetKey, PeerHandler, PeerListener, PeerPool, TrafficPurpose, ZoneTraffic,
};
use wagtailtrack::wire::{ConfigCall, ConfigReply, InstancesCall, InstancesReply, PeerCall};
use wagtailtrack::wire::{PeerOpening, PeerReply};

const SECRET: &str = "0123456789abcdef";
const CALL_TIMEOUT: Duration = Duration::from_secs(30);

fn counters(zone: &str) -> Rc<ZoneTraffic> {
    Rc::new(ZoneTraffic::open(&zone.parse().unwrap()))
}

/// Bytes sent and received for `purpose`.
fn bytes(traffic: &ZoneTraffic, purpose: TrafficPurpose) -> (u64, u64) {
    let lines = traffic.bytes();
    let line = lines.iter().find(|line| line.purpose == purpose).unwrap();
    (line.sent, line.received)
}

/// Makes a call about the configuration and one about instances from `caller` to `callee`.
async fn make_calls(caller: &Rc<ZoneTraffic>, callee: &Rc<ZoneTraffic>) {
    let handler: PeerHandler = Rc::new(|opening, mut stream| {
        Box::pin(async move {
            let reply = match opening {
                PeerOpening::Call(PeerCall::Config(_)) => PeerReply::Config(ConfigReply::Pong),
                _ => PeerReply::Instances(InstancesReply::Service(Vec::new())),
            };
            stream.send(&reply).await.unwrap();
            stream.finish().unwrap();
        })
    });
    let address = "127.0.0.1:0".parse().unwrap();
    let key = FleetKey::open(SECRET);
    let listener = PeerListener::bind_counted(address, key.clone(), handler, Rc::clone(callee));
    let listener = listener.await.unwrap();
    let pool = PeerPool::open_counted(key, Rc::clone(caller));
    let service = "a-service".parse().unwrap();
    for call in [
        PeerCall::Config(ConfigCall::Ping),
        PeerCall::Instances(InstancesCall::Service(service)),
    ] {
        pool.call(listener.address(), call, CALL_TIMEOUT)
            .await
            .unwrap();
    }
}

/// Guards against bytes that are counted on one side only, or under another purpose.
#[actix_rt::test]
async fn two_zones() {
    let (caller, callee) = (counters("zone-a"), counters("zone-b"));
    make_calls(&caller, &callee).await;
    for purpose in [
        TrafficPurpose::Configuration,
        TrafficPurpose::MembershipPulls,
    ] {
        let (sent, received) = bytes(&caller, purpose);
        assert!(sent > 20 && received > 20, "{sent} and {received}");
        assert_eq!(bytes(&callee, purpose), (received, sent));
    }
    for purpose in [TrafficPurpose::Requests, TrafficPurpose::Limits] {
        assert_eq!(bytes(&caller, purpose), (0, 0));
    }
    let (sent, received) = bytes(&caller, TrafficPurpose::Other);
    assert!(sent > 32 && received > 32, "{sent} and {received}");
}

/// Guards against bytes within a zone that count as bytes between zones.
#[actix_rt::test]
async fn one_zone() {
    let (caller, callee) = (counters("zone-a"), counters("zone-a"));
    make_calls(&caller, &callee).await;
    for side in [caller, callee] {
        assert!(
            side.bytes()
                .iter()
                .all(|line| line.sent + line.received == 0)
        );
    }
}
