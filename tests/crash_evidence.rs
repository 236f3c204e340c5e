//! What an egress takes for the end of an instance, over loopback.

mod common;

use std::cell::RefCell;
use std::io::Read;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::Duration;

use common::{desk_spec, sample_offer};
use wagtailtrack::crashes::{CrashRules, SuspectsHandle};
use wagtailtrack::egress::{ClientOptions, EgressHandle, EgressSources};
use wagtailtrack::evacuation::ZoneGate;
use wagtailtrack::instances::LocalInstance;
use wagtailtrack::metrics::MetricsExport;
use wagtailtrack::peers::{FleetKey, PeerHandler, PeerListener, PeerPool};
use wagtailtrack::retry::CallRates;
use wagtailtrack::time::{MonoTime, ProcessClock};
use wagtailtrack::units::Slots;
use wagtailtrack::wire::{EgressMessage, InstancePhase, PeerOpening, RequestDigest, RequestOffer};

/// How long the instance runs a request before it closes the connection.
const RUN_TIME: Duration = Duration::from_millis(100);

/// What an instance does after it has closed the connection of its first request.
#[derive(Clone, Copy)]
enum AfterLoss {
    /// It ends, and closes its listener a little later than its connections.
    Ends,
    /// It goes on and accepts connections.
    GoesOn,
    /// It goes on and closes each connection.
    ClosesAll,
}

fn spawn_instance(after: AfterLoss) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        let (mut first, _) = listener.accept().unwrap();
        let _ = first.read(&mut [0; 4096]);
        std::thread::sleep(RUN_TIME);
        drop(first);
        match after {
            AfterLoss::Ends => std::thread::sleep(Duration::from_millis(10)),
            AfterLoss::GoesOn => {
                let _held: Vec<_> = listener.incoming().take(4).collect();
            }
            AfterLoss::ClosesAll => listener.incoming().take(20).for_each(drop),
        }
    });
    address
}

/// Runs one request at an instance and returns how many requests are suspected then. `leaves` tells
/// whether the instance announces in the meantime that it leaves.
async fn suspects_after(after: AfterLoss, leaves: bool) -> usize {
    let clock = ProcessClock::open();
    let rules = CrashRules {
        limit: 3,
        hold: Duration::from_secs(60),
    };
    let suspects = SuspectsHandle::open(rules, clock);
    let egress = EgressHandle::spawn(EgressSources {
        clock,
        client_options: ClientOptions::default(),
        slot_hold: Duration::from_secs(2),
        durations: MetricsExport::open().unwrap().durations(),
        spec_of: Rc::new(|_| Some(desk_spec())),
        records_of: Rc::new(|_| Vec::new().into()),
        member_count: Rc::new(|| 1),
        accepts_work: Rc::new(|_| true),
        on_leaving: Rc::new(|_| {}),
        publish: Rc::new(|_, _, _, _| {}),
        zone_gate: Rc::new(|| ZoneGate::Open),
        suspects: suspects.clone(),
        call_rates: Rc::new(RefCell::new(CallRates::open(MonoTime::ZERO))),
    });
    let mut local = LocalInstance {
        instance: "desk-1".parse().unwrap(),
        service: "desk".parse().unwrap(),
        address: spawn_instance(after),
        phase: InstancePhase::Ready,
        slots: Slots::new(1).unwrap(),
    };
    egress.apply_announcement(&local);
    let served = egress.clone();
    let handler: PeerHandler = Rc::new(move |opening, stream| {
        let egress = served.clone();
        Box::pin(async move {
            if let PeerOpening::Request(offer) = opening {
                egress.serve(*offer, 0, stream).await;
            }
        })
    });
    let key = FleetKey::open("0123456789abcdef");
    let any = "127.0.0.1:0".parse().unwrap();
    let listener = PeerListener::bind(any, key.clone(), handler).await.unwrap();
    let peers = PeerPool::open(key);
    let mut stream = peers.open_stream(listener.address()).await.unwrap();
    let account = "crew".parse().unwrap();
    let offer = RequestOffer {
        idempotent: true,
        digest: Some(RequestDigest::open(&account, "GET", None, "/a", b"")),
        remaining_micros: 5_000_000,
        ..sample_offer()
    };
    stream
        .send(&PeerOpening::Request(Box::new(offer)))
        .await
        .unwrap();
    if leaves {
        actix_rt::time::sleep(RUN_TIME / 2).await;
        local.phase = InstancePhase::Draining;
        egress.apply_announcement(&local);
    }
    let message = stream.receive_required::<EgressMessage>().await.unwrap();
    let EgressMessage::Failed { end, .. } = message else {
        panic!("unexpected message {message:?}");
    };
    assert_eq!(end.is_some(), !suspects.suspects().is_empty());
    suspects.suspects().len()
}

/// Guards against the end of an instance that goes unnoticed, because it takes connections a few
/// milliseconds longer than it serves the open ones.
#[actix_rt::test]
async fn listener_closes_last() {
    assert_eq!(suspects_after(AfterLoss::Ends, false).await, 1);
}

/// Guards against the suspicion of requests whose connection is lost though the instance goes on.
#[actix_rt::test]
async fn instance_goes_on() {
    assert_eq!(suspects_after(AfterLoss::GoesOn, false).await, 0);
    assert_eq!(suspects_after(AfterLoss::ClosesAll, false).await, 0);
}

/// Guards against the suspicion of requests that run when an instance ends as it has announced.
#[actix_rt::test]
async fn planned_end() {
    assert_eq!(suspects_after(AfterLoss::Ends, true).await, 0);
}
