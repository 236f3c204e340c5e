//! Membership of three daemons over real sockets on loopback.

mod common;

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_trait::async_trait;
use wagtailtrack::ids::{BootId, Revision};
use wagtailtrack::members::{MemberSources, MembersHandle};
use wagtailtrack::peers::{FleetKey, PeerHandler, PeerListener, PeerPool};
use wagtailtrack::platform::{
    CommitOutcome, PlatformError, PlatformService, RowKey, TableRow, Transaction,
};
use wagtailtrack::time::ProcessClock;
use wagtailtrack::units::Slots;
use wagtailtrack::wire::{
    HealthState, InstancePhase, InstanceRecord, PeerCall, PeerOpening, PeerReply,
};

/// A platform that fails every call.
struct UnavailablePlatform;

#[async_trait(?Send)]
impl PlatformService for UnavailablePlatform {
    async fn read(&self, _: &[RowKey]) -> Result<Vec<Option<TableRow>>, PlatformError> {
        Err(PlatformError::Unavailable("unavailable".to_owned()))
    }
    async fn scan(
        &self,
        _: &str,
        _: Option<&RowKey>,
        _: usize,
    ) -> Result<Vec<TableRow>, PlatformError> {
        Err(PlatformError::Unavailable("unavailable".to_owned()))
    }
    async fn commit(&self, _: &Transaction) -> Result<CommitOutcome, PlatformError> {
        Err(PlatformError::Unavailable("unavailable".to_owned()))
    }
    async fn get_object(&self, _: &str) -> Result<Option<Vec<u8>>, PlatformError> {
        Err(PlatformError::Unavailable("unavailable".to_owned()))
    }
    async fn put_object(&self, _: &str, _: &[u8]) -> Result<(), PlatformError> {
        Err(PlatformError::Unavailable("unavailable".to_owned()))
    }
}

struct RunningMember {
    handle: MembersHandle,
    newest_revision: Rc<Cell<Revision>>,
    _listener: PeerListener,
}

/// Starts a daemon's membership with TCP and UDP bound to the same free port.
async fn start(name: &str, seeds: Vec<SocketAddr>, revision: u64) -> RunningMember {
    let key = FleetKey::open("a secret of the fleet");
    let slot: Rc<std::cell::RefCell<Option<MembersHandle>>> = Rc::default();
    let serving = Rc::clone(&slot);
    let handler: PeerHandler = Rc::new(move |opening, mut stream| {
        let handle = serving.borrow().clone();
        Box::pin(async move {
            if let (Some(handle), PeerOpening::Call(PeerCall::Instances(call))) = (handle, opening)
            {
                let reply = PeerReply::Instances(handle.serve(call).await);
                stream.send(&reply).await.unwrap();
                stream.finish().unwrap();
            }
        })
    });
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let listener = PeerListener::bind(any, key.clone(), handler).await.unwrap();
    let newest_revision = Rc::new(Cell::new(Revision(0)));
    let reported = Rc::clone(&newest_revision);
    let handle = MembersHandle::spawn(MemberSources {
        daemon: name.parse().unwrap(),
        boot: BootId(1),
        zone: "zone-a".parse().unwrap(),
        region: "region-a".parse().unwrap(),
        address: listener.address(),
        seeds,
        key: key.clone(),
        clock: ProcessClock::open(),
        peers: PeerPool::open(key),
        platform: Rc::new(UnavailablePlatform),
        own_revision: Rc::new(move || Revision(revision)),
        on_revision: Rc::new(move |revision, _| reported.set(reported.get().max(revision))),
        suspects: common::no_suspects(),
        on_left: Rc::new(|_, _| {}),
        start_spread: Duration::ZERO,
        seed: 7,
    })
    .await
    .unwrap();
    *slot.borrow_mut() = Some(handle.clone());
    RunningMember {
        handle,
        newest_revision,
        _listener: listener,
    }
}

async fn until(goal: impl Fn() -> bool) {
    for _ in 0..1200 {
        if goal() {
            return;
        }
        actix_rt::time::sleep(Duration::from_millis(50)).await;
    }
    panic!("goal not reached");
}

/// Guards against faults in the socket layer that simulated networks cannot show: three daemons
/// must converge, pull over `h2`, learn the newest revision and notice a leave.
#[test]
fn views_converge() {
    actix_rt::System::new().block_on(async {
        let first = start("first", vec![], 3).await;
        let seed = first.handle.live()[0].address;
        let second = start("second", vec![seed], 9).await;
        let third = start("third", vec![seed], 4).await;
        let all = [&first, &second, &third];
        until(|| all.iter().all(|one| one.handle.live().len() == 3)).await;
        let record = InstanceRecord {
            instance: "desk-1".parse().unwrap(),
            service: "desk".parse().unwrap(),
            daemon: "third".parse().unwrap(),
            egress: third.handle.live()[0].address,
            zone: "zone-a".parse().unwrap(),
            region: "region-a".parse().unwrap(),
            incarnation: wagtailtrack::ids::Incarnation(0),
            phase: InstancePhase::Ready,
            health: HealthState::Healthy,
            slots: Slots::new(3).unwrap(),
            median_micros: 0,
            cold_rate: None,
            left_run: None,
        };
        third.handle.publish(record.clone());
        let sees = |one: &&RunningMember| one.handle.instances_of(&record.service).len() == 1;
        until(|| all.iter().all(sees)).await;
        until(|| first.newest_revision.get() == Revision(9)).await;
        third.handle.leave().await;
        until(|| first.handle.instances_of(&record.service).is_empty()).await;
        assert_eq!(first.handle.live().len(), 2);
    });
}
