//! An egress with one instance of one slot over loopback.

use std::cell::{Cell, RefCell};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

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
    EgressMessage, HealthState, InstancePhase, PeerOpening, RefusalReason, RequestOffer,
};

use super::desk_spec::desk_spec;
use super::no_suspects::no_suspects;
use super::sample_offer::sample_offer;

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
pub struct GatedEgress {
    /// The egress.
    pub egress: EgressHandle,
    listener: PeerListener,
    peers: PeerPool,
    /// Whether its zone is in service.
    pub gate: Rc<Cell<ZoneGate>>,
    requests: Arc<AtomicUsize>,
    /// The health of the instance that was published last.
    pub health: Rc<Cell<HealthState>>,
    /// The phase of the instance that was published last.
    pub phase: Rc<Cell<InstancePhase>>,
    /// Whether the service of the instance is configured.
    pub is_configured: Rc<Cell<bool>>,
    /// Whether the announcements of the instance let it take work.
    pub accepts_work: Rc<Cell<bool>>,
    /// The instance as it was announced first.
    pub local: LocalInstance,
}

impl GatedEgress {
    /// Starts the egress with its zone in the state `gate`.
    pub async fn open(gate: ZoneGate) -> Self {
        let (address, requests) = spawn_instance();
        let gate = Rc::new(Cell::new(gate));
        let health = Rc::new(Cell::new(HealthState::Healthy));
        let phase = Rc::new(Cell::new(InstancePhase::Ready));
        let (is_configured, accepts_work) = (Rc::new(Cell::new(true)), Rc::new(Cell::new(true)));
        let (source, published) = (Rc::clone(&gate), (Rc::clone(&health), Rc::clone(&phase)));
        let (has_spec, takes_work) = (Rc::clone(&is_configured), Rc::clone(&accepts_work));
        let egress = EgressHandle::spawn(EgressSources {
            clock: ProcessClock::open(),
            client_options: ClientOptions::default(),
            slot_hold: Duration::from_secs(2),
            durations: MetricsExport::open().unwrap().durations(),
            spec_of: Rc::new(move |_| has_spec.get().then(desk_spec)),
            records_of: Rc::new(|_| Vec::new().into()),
            member_count: Rc::new(|| 1),
            accepts_work: Rc::new(move |_| takes_work.get()),
            on_leaving: Rc::new(|_| {}),
            publish: Rc::new(move |local, state, _, _| {
                published.0.set(state);
                published.1.set(local.phase);
            }),
            zone_gate: Rc::new(move || source.get()),
            suspects: no_suspects(),
            call_rates: Rc::new(RefCell::new(CallRates::open(MonoTime::ZERO))),
        });
        let local = LocalInstance {
            instance: "desk-1".parse().unwrap(),
            service: "desk".parse().unwrap(),
            address,
            phase: InstancePhase::Ready,
            slots: Slots::new(1).unwrap(),
        };
        egress.apply_announcement(&local);
        let served = egress.clone();
        let handler: PeerHandler = Rc::new(move |opening, stream| {
            let egress = served.clone();
            Box::pin(async move {
                match opening {
                    PeerOpening::Request(offer) => egress.serve(*offer, 0, stream).await,
                    PeerOpening::LongRequest(offer, bytes) => {
                        egress.serve(*offer, bytes, stream).await;
                    }
                    PeerOpening::Call(_) => {}
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
            phase,
            is_configured,
            accepts_work,
            local,
        }
    }

    /// Announces the instance in `phase`.
    pub fn announce(&self, phase: InstancePhase) {
        let mut local = self.local.clone();
        local.phase = phase;
        self.egress.apply_announcement(&local);
    }

    /// Offers the request `number`.
    pub async fn offer(&self, number: u64, idempotent: bool) -> PeerStream {
        let offer = Self::sample(number, idempotent);
        self.open_stream(PeerOpening::Request(offer)).await
    }

    /// Offers the request `number`, which may run once, with a body of `bytes` that follows in parts.
    pub async fn offer_long(&self, number: u64, bytes: u64) -> PeerStream {
        let offer = Self::sample(number, false);
        self.open_stream(PeerOpening::LongRequest(offer, bytes))
            .await
    }

    fn sample(number: u64, idempotent: bool) -> Box<RequestOffer> {
        Box::new(RequestOffer {
            request: RequestId(number),
            idempotent,
            remaining_micros: DEADLINE_MICROS,
            ..sample_offer()
        })
    }

    async fn open_stream(&self, opening: PeerOpening) -> PeerStream {
        let address = self.listener.address();
        let mut stream = self.peers.open_stream(address).await.unwrap();
        stream.send(&opening).await.unwrap();
        stream
    }

    /// The requests that reached the instance.
    pub fn arrived(&self) -> usize {
        self.requests.load(Ordering::SeqCst)
    }
}

/// The reason of the refusal that comes next; none if another message comes.
pub async fn refusal(stream: &mut PeerStream) -> Option<RefusalReason> {
    match stream.receive_required().await.unwrap() {
        EgressMessage::Refused { reason, .. } => Some(reason),
        _ => None,
    }
}
