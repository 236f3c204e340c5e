//! Membership between zones over real sockets on loopback.

mod common;

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use common::{MemoryPlatform, eventually};
use wagtailtrack::ids::{BootId, Revision, ZoneId};
use wagtailtrack::members::{MemberSources, MembersHandle};
use wagtailtrack::peers::{FleetKey, PeerHandler, PeerListener, PeerPool};
use wagtailtrack::peers::{TrafficPurpose, ZoneTraffic};
use wagtailtrack::time::ProcessClock;
use wagtailtrack::wire::{PeerCall, PeerOpening, PeerReply};

const ZONES: usize = 3;
const DAEMONS: usize = 12;

struct ZoneMember {
    handle: MembersHandle,
    /// Gossip with other zones, and pulls that this member made.
    traffic: Rc<ZoneTraffic>,
    _listener: PeerListener,
}

/// Starts a daemon's membership with one relay a zone.
async fn start(index: usize, platform: &Rc<MemoryPlatform>) -> ZoneMember {
    let zone: ZoneId = format!("zone-{}", index % ZONES).parse().unwrap();
    let key = FleetKey::open("a secret of the fleet");
    let traffic = Rc::new(ZoneTraffic::open(&zone));
    // Replies to the pulls of others are counted apart.
    let served = Rc::new(ZoneTraffic::open(&zone));
    let slot: Rc<RefCell<Option<MembersHandle>>> = Rc::default();
    let serving = Rc::clone(&slot);
    let handler: PeerHandler = Rc::new(move |opening, mut stream| {
        let handle = serving.borrow().clone();
        Box::pin(async move {
            if let (Some(handle), PeerOpening::Call(PeerCall::Instances(call))) = (handle, opening)
            {
                let reply = PeerReply::Instances(handle.serve(call).await);
                // The caller may be gone by now.
                let _ = stream.send(&reply).await;
                let _ = stream.finish();
            }
        })
    });
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let listener = PeerListener::bind_counted(any, key.clone(), handler, served);
    let listener = listener.await.unwrap();
    let sources = MemberSources {
        daemon: format!("daemon-{index}").parse().unwrap(),
        boot: BootId(1),
        zone,
        region: "region-a".parse().unwrap(),
        address: listener.address(),
        seeds: Vec::new(),
        key: key.clone(),
        clock: ProcessClock::open(),
        peers: PeerPool::open_counted(key, Rc::clone(&traffic)),
        platform: Rc::clone(platform) as _,
        own_revision: Rc::new(|| Revision(0)),
        on_revision: Rc::new(|_, _| {}),
        suspects: common::no_suspects(),
        on_left: Rc::new(|_, _| {}),
        start_spread: Duration::from_millis(300),
        seed: index as u64,
    };
    let handle = MembersHandle::spawn_with_relays(sources, 1).await.unwrap();
    *slot.borrow_mut() = Some(handle.clone());
    ZoneMember {
        handle,
        traffic,
        _listener: listener,
    }
}

/// Guards against zones that do not find each other through the directory, and against daemons that
/// pull from other zones although they are no relays.
#[actix_rt::test]
async fn zones_converge() {
    let platform = Rc::new(MemoryPlatform::default());
    let mut members = Vec::new();
    for index in 0..DAEMONS {
        members.push(start(index, &platform).await);
    }
    let all_live = || members.iter().all(|one| one.handle.live().len() == DAEMONS);
    eventually("all members", async || all_live()).await;
    let bytes = |member: &ZoneMember, purpose: TrafficPurpose| {
        let lines = member.traffic.bytes();
        let line = lines.into_iter().find(|line| line.purpose == purpose);
        line.unwrap()
    };
    let pulling = members
        .iter()
        .filter(|one| bytes(one, TrafficPurpose::MembershipPulls).sent > 0);
    assert!(pulling.count() <= ZONES, "pulls between zones");
    let gossip = members
        .iter()
        .map(|one| bytes(one, TrafficPurpose::MembershipGossip).sent);
    assert!(gossip.sum::<u64>() > 0);
}
