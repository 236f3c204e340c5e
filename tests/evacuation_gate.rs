//! The egress beside an instance as the last gate before an evacuated zone, over loopback.

mod common;

use std::cell::{Cell, RefCell};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use common::{desk_spec, eventually, sample_offer};
use wagtailtrack::egress::{ClientOptions, EgressHandle, EgressSources};
use wagtailtrack::evacuation::ZoneGate;
use wagtailtrack::ids::RequestId;
use wagtailtrack::instances::LocalInstance;
use wagtailtrack::metrics::MetricsExport;
use wagtailtrack::peers::{FleetKey, PeerHandler, PeerListener, PeerPool, PeerStream};
use wagtailtrack::retry::CallRates;
use wagtailtrack::time::{MonoTime, ProcessClock};
use wagtailtrack::units::Slots;
use wagtailtrack::wire::{
    EgressMessage, HealthState, IngressMessage, InstancePhase, PeerOpening, RefusalReason,
    RequestOffer,
};

const DEADLINE_MICROS: u64 = 5_000_000;
/// How long the instance takes for a request.
const SERVICE_TIME: Duration = Duration::from_millis(300);

/// An instance that counts its requests and answers each after `SERVICE_TIME`.
fn spawn_instance() -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let requests = Arc::new(AtomicUsize::new(0));
    let count = Arc::clone(&requests);
    std::thread::spawn(move || {
        for socket in listener.incoming() {
            let (mut socket, count) = (socket.unwrap(), Arc::clone(&count));
            std::thread::spawn(move || {
                let mut request = [0; 4096];
                while socket.read(&mut request).is_ok_and(|count| count > 0) {
                    count.fetch_add(1, Ordering::SeqCst);
                    std::thread::sleep(SERVICE_TIME);
                    let _ = socket.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok");
                }
            });
        }
    });
    (address, requests)
}

/// An egress with one instance of one slot, and an ingress that offers requests to it.
struct GatedEgress {
    egress: EgressHandle,
    listener: PeerListener,
    peers: PeerPool,
    gate: Rc<Cell<ZoneGate>>,
    requests: Arc<AtomicUsize>,
    health: Rc<Cell<HealthState>>,
}

impl GatedEgress {
    async fn open(gate: ZoneGate) -> Self {
        let (address, requests) = spawn_instance();
        let gate = Rc::new(Cell::new(gate));
        let health = Rc::new(Cell::new(HealthState::Healthy));
        let (source, published) = (Rc::clone(&gate), Rc::clone(&health));
        let egress = EgressHandle::spawn(EgressSources {
            clock: ProcessClock::open(),
            client_options: ClientOptions::default(),
            slot_hold: Duration::from_secs(2),
            durations: MetricsExport::open().unwrap().durations(),
            spec_of: Rc::new(|_| Some(desk_spec())),
            records_of: Rc::new(|_| Vec::new().into()),
            member_count: Rc::new(|| 1),
            accepts_work: Rc::new(|_| true),
            on_leaving: Rc::new(|_| {}),
            publish: Rc::new(move |_, state, _, _| published.set(state)),
            zone_gate: Rc::new(move || source.get()),
            suspects: common::no_suspects(),
            call_rates: Rc::new(RefCell::new(CallRates::open(MonoTime::ZERO))),
        });
        egress.apply_announcement(&LocalInstance {
            instance: "desk-1".parse().unwrap(),
            service: "desk".parse().unwrap(),
            address,
            phase: InstancePhase::Ready,
            slots: Slots::new(1).unwrap(),
        });
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
        Self {
            egress,
            listener,
            peers: PeerPool::open(key),
            gate,
            requests,
            health,
        }
    }

    async fn offer(&self, number: u64, idempotent: bool) -> PeerStream {
        let address = self.listener.address();
        let mut stream = self.peers.open_stream(address).await.unwrap();
        let offer = RequestOffer {
            request: RequestId(number),
            idempotent,
            remaining_micros: DEADLINE_MICROS,
            ..sample_offer()
        };
        stream
            .send(&PeerOpening::Request(Box::new(offer)))
            .await
            .unwrap();
        stream
    }

    fn arrived(&self) -> usize {
        self.requests.load(Ordering::SeqCst)
    }
}

async fn refusal(stream: &mut PeerStream) -> Option<RefusalReason> {
    match stream.receive_required().await.unwrap() {
        EgressMessage::Refused { reason, .. } => Some(reason),
        _ => None,
    }
}

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
