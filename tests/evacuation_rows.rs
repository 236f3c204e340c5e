//! The rows of evacuated zones in the users' store, and the daemons that follow them.
#![allow(
    dead_code,
    reason = "the tests use only some functions of each included module"
)]

mod common;
#[path = "../platform/config_entries.rs"]
mod config_entries;
#[path = "../platform/config_wire.rs"]
mod config_wire;
#[path = "../platform/document_store.rs"]
mod document_store;
#[path = "../platform/store_client.rs"]
mod store_client;
#[path = "../platform/store_response.rs"]
mod store_response;
mod store_rows;
#[path = "../platform/store_wire.rs"]
mod store_wire;

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_trait::async_trait;
use common::{MemoryPlatform, PATIENCE, eventually};
use document_store::DocumentStore;
use store_client::StoreClient;
use store_rows::StoreRows;
use wagtailtrack::config::{
    ConfigHandle, ConfigSources, DocumentPeers, DocumentReading, DocumentSource, DocumentUpdate,
    WatchResponse,
};
use wagtailtrack::evacuation::{
    EvacuationDigest, EvacuationMark, EvacuationUpdate, ZoneChange, ZoneGate,
};
use wagtailtrack::ids::{BootId, Revision, StoreEra, Version, ZoneId};
use wagtailtrack::members::LiveMember;
use wagtailtrack::peers::{FleetKey, PeerHandler, PeerListener, PeerPool};
use wagtailtrack::platform::PlatformError;
use wagtailtrack::settings::{PlatformSettings, ServiceSettings};
use wagtailtrack::time::ProcessClock;
use wagtailtrack::wire::{ConfigCall, ConfigReply, PeerCall, PeerOpening, PeerReply, WatchRequest};

fn settings(address: SocketAddr) -> PlatformSettings {
    toml::from_str(&format!("address = \"{address}\"")).unwrap()
}

fn source(address: SocketAddr) -> DocumentStore {
    let client = StoreClient::open(&settings(address));
    DocumentStore::open(client, ServiceSettings::default())
}

fn zone(name: &str) -> ZoneId {
    name.parse().unwrap()
}

fn whole(names: &[&str]) -> EvacuationUpdate {
    EvacuationUpdate::Whole(names.iter().map(|name| zone(name)).collect())
}

async fn watched(source: &DocumentStore, after: u64) -> DocumentReading {
    match source.watch(Version(after), Duration::ZERO).await.unwrap() {
        WatchResponse::Reading(reading) => reading,
        WatchResponse::HistoryLost => panic!("the history is there"),
    }
}

/// Guards against a second call for the evacuations, and against rows that name no zone but hide or
/// stand for one: other keys, other partitions, invalid names.
#[actix_rt::test]
async fn one_call_reads_all() {
    let store = StoreRows::bind().await;
    store.put_document(7);
    for key in [
        "evacuate/z1",
        "evacuate/Zone 2",
        "evacuate/",
        "evacuated/z3",
        "evac",
    ] {
        store.put(key, "{}");
    }
    store.put("evacuate/z4", "no JSON");
    store.put_elsewhere("evacuate/z5");
    let reading = source(store.address).read().await.unwrap();
    assert_eq!(store.calls(), 1);
    assert_eq!(reading.evacuations, whole(&["z1", "z4"]));
    assert!(matches!(reading.document, DocumentUpdate::New(_)));
}

/// Guards against evacuations that are lost because the store returns a part of the rows.
#[actix_rt::test]
async fn truncated_responses() {
    let store = StoreRows::bind().await;
    store.put_document(7);
    for number in 0..7 {
        store.put(&format!("evacuate/z{number}"), "{}");
    }
    store.limit_rows(3);
    let source = source(store.address);
    let reading = source.read().await.unwrap();
    let all = ["z0", "z1", "z2", "z3", "z4", "z5", "z6"];
    assert_eq!(reading.evacuations, whole(&all));
    let response = source.watch(Version(0), Duration::ZERO).await.unwrap();
    assert_eq!(
        response,
        WatchResponse::HistoryLost,
        "the rows are read again"
    );
}

/// Guards against a document that does not parse and hides an evacuation in the same response, and
/// against an evacuation that makes the document count as new.
#[actix_rt::test]
async fn watch_reports_changes() {
    let store = StoreRows::bind().await;
    store.put_document(7);
    let source = source(store.address);
    let position = source.read().await.unwrap().position.0;
    store.put("evacuate/z1", "{}");
    let reading = watched(&source, position).await;
    let out = EvacuationUpdate::Changes(vec![ZoneChange::Out(zone("z1"))]);
    assert_eq!(
        (reading.evacuations, reading.document),
        (out, DocumentUpdate::Unchanged)
    );
    let position = reading.position.0;
    store.put("config", "{");
    store.remove("evacuate/z1");
    store.put("evacuate/Z 1", "{}");
    let reading = watched(&source, position).await;
    let back = EvacuationUpdate::Changes(vec![ZoneChange::Back(zone("z1"))]);
    assert_eq!(reading.evacuations, back);
    assert!(matches!(reading.document, DocumentUpdate::Invalid(_)));
}

/// A source whose store cannot be reached.
struct NoStore;

#[async_trait(?Send)]
impl DocumentSource for NoStore {
    async fn read(&self) -> Result<DocumentReading, PlatformError> {
        Err(PlatformError::Unavailable("unreachable".to_owned()))
    }

    async fn watch(&self, _: Version, _: Duration) -> Result<WatchResponse, PlatformError> {
        Err(PlatformError::Unavailable("unreachable".to_owned()))
    }
}

/// A daemon's configuration and the listener that serves it to others.
struct Follower {
    config: ConfigHandle,
    member: LiveMember,
    _listener: PeerListener,
}

impl Follower {
    /// Starts the daemon `number`, which knows of `others`.
    async fn open(number: u64, source: Rc<dyn DocumentSource>, others: &[&Self]) -> Self {
        let key = FleetKey::open("0123456789abcdef");
        let config = Rc::new(std::cell::OnceCell::<ConfigHandle>::new());
        let served = Rc::clone(&config);
        let handler: PeerHandler = Rc::new(move |opening, mut stream| {
            let config = served.get().cloned();
            Box::pin(async move {
                if let (Some(config), PeerOpening::Call(PeerCall::Config(call))) = (config, opening)
                {
                    let reply = PeerReply::Config(config.serve(call).await);
                    let _ = stream.send(&reply).await;
                    let _ = stream.finish();
                }
            })
        });
        let any = "127.0.0.1:0".parse().unwrap();
        let listener = PeerListener::bind(any, key.clone(), handler).await.unwrap();
        let member = LiveMember {
            daemon: format!("d{number}").parse().unwrap(),
            boot: BootId(number),
            address: listener.address(),
            zone: zone("z1"),
            region: "r1".parse().unwrap(),
        };
        let mut members: Vec<_> = others.iter().map(|other| other.member.clone()).collect();
        members.push(member.clone());
        let sources = ConfigSources {
            settings: settings(any),
            daemon: member.daemon.clone(),
            boot: member.boot,
            clock: ProcessClock::open(),
            peers: PeerPool::open(key),
            platform: Rc::new(MemoryPlatform::default()),
            peer_addresses: Rc::new(Vec::new),
        };
        let peers = DocumentPeers {
            zone: member.zone.clone(),
            version: Rc::new(|| 1),
            members: Rc::new(move || members.clone()),
        };
        let handle = ConfigHandle::spawn_document(sources, source, peers);
        assert!(config.set(handle.clone()).is_ok());
        Self {
            config: handle,
            member,
            _listener: listener,
        }
    }

    fn gate(&self) -> ZoneGate {
        self.config.zone_gate(&zone("z1"))
    }
}

/// Three daemons in a row, of which only the first reaches the store.
async fn chain(store: &StoreRows) -> [Follower; 3] {
    let first = Follower::open(1, Rc::new(source(store.address)), &[]).await;
    let second = Follower::open(2, Rc::new(NoStore), &[&first]).await;
    let third = Follower::open(3, Rc::new(NoStore), &[&second]).await;
    [first, second, third]
}

/// Guards against an evacuation that a daemon does not pass on which hears of it from a peer alone, or
/// only with the next document; against an invalid document that hides it; and against an outage of
/// the store or a restart that undoes it.
#[actix_rt::test]
async fn passed_on_by_peers() {
    let store = StoreRows::bind().await;
    store.put_document(7);
    let daemons = chain(&store).await;
    let all = |gate: ZoneGate| daemons.iter().all(|daemon| daemon.gate() == gate);
    eventually("the first document", async || all(ZoneGate::Open)).await;
    store.put("config", "{");
    store.put("evacuate/z1", "{}");
    eventually("the evacuation everywhere", async || {
        all(ZoneGate::Evacuated)
    })
    .await;
    store.set_down(true);
    actix_rt::time::sleep(Duration::from_millis(500)).await;
    assert!(all(ZoneGate::Evacuated), "the last known state holds");
    let [_, _, last] = &daemons;
    let restarted = Follower::open(4, Rc::new(NoStore), &[last]).await;
    eventually("the restarted daemon informed", async || {
        let gate = restarted.gate();
        assert_ne!(gate, ZoneGate::Open, "it serves before it knows");
        gate == ZoneGate::Evacuated
    })
    .await;
    store.set_down(false);
    store.remove("evacuate/z1");
    eventually("the zone back everywhere", async || {
        all(ZoneGate::Open) && restarted.gate() == ZoneGate::Open
    })
    .await;
}

/// A peer waits for news and knows all but an evacuation. Guards against an evacuation that it hears of
/// only at the end of its wait.
#[actix_rt::test]
async fn waiting_peer_told_at_once() {
    let store = StoreRows::bind().await;
    store.put_document(7);
    let daemon = Follower::open(1, Rc::new(source(store.address)), &[]).await;
    eventually("the first document", async || daemon.config.is_loaded()).await;
    let request = WatchRequest {
        have: Some(Revision(7)),
        boot: BootId(1),
        confirmed_micros: Some(u64::MAX),
        store_lost: false,
        evacuations: Some(EvacuationDigest {
            mark: EvacuationMark {
                era: StoreEra(1),
                version: Version(1),
            },
            digest: 0,
        }),
        wait_micros: 600_000_000,
        held_interval_micros: 250_000,
    };
    let question = daemon.config.serve(ConfigCall::Watch(request));
    let change = async {
        actix_rt::time::sleep(Duration::from_millis(100)).await;
        store.put("other", "{}");
        actix_rt::time::sleep(Duration::from_millis(100)).await;
        store.put("evacuate/z1", "{}");
    };
    let both = futures_util::future::join(question, change);
    let (reply, ()) = actix_rt::time::timeout(PATIENCE, both).await.unwrap();
    let ConfigReply::Watched(reply) = reply else {
        panic!("not the reply to a watch");
    };
    let report = reply.evacuations.unwrap();
    assert!(report.zones.contains(&zone("z1")));
    assert_eq!(report.mark.version, Version(3));
}

/// The store comes back from a copy that was made before the zone was put back, and issues versions
/// again. Guards against a daemon that keeps to the lost state by its higher version.
#[actix_rt::test]
async fn restored_from_copy() {
    let store = StoreRows::bind().await;
    store.put_document(7);
    store.put("evacuate/z1", "{}");
    let copy = store.copy();
    let daemons = chain(&store).await;
    let all = |gate: ZoneGate| daemons.iter().all(|daemon| daemon.gate() == gate);
    eventually("the evacuation", async || all(ZoneGate::Evacuated)).await;
    store.remove("evacuate/z1");
    for _ in 0..5 {
        store.put("other", "{}");
    }
    eventually("the zone back", async || all(ZoneGate::Open)).await;
    store.restore(&copy);
    eventually("the evacuation of the copy", async || {
        all(ZoneGate::Evacuated)
    })
    .await;
}
