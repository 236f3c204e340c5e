//! A daemon that hears of the configuration from another one over sockets whose messages get lost.

mod common;

use std::cell::{Cell, OnceCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_trait::async_trait;
use common::{MemoryPlatform, RelayHandle, RelayMode, eventually};
use tokio::sync::Notify;
use wagtailtrack::config::{
    ConfigDocument, ConfigHandle, ConfigSources, ConfirmationSource, DocumentPeers,
    DocumentReading, DocumentSource, DocumentUpdate, WatchResponse, WatchTree,
};
use wagtailtrack::evacuation::EvacuationUpdate;
use wagtailtrack::ids::{BootId, Revision, StoreEra, Version};
use wagtailtrack::members::LiveMember;
use wagtailtrack::peers::{FleetKey, PeerHandler, PeerListener, PeerPool};
use wagtailtrack::platform::PlatformError;
use wagtailtrack::time::ProcessClock;
use wagtailtrack::wire::{ConfigCall, ConfigReply, PeerCall, PeerOpening, PeerReply};

/// Time within which a change must be in force everywhere. The simulated fleet of `watch_silence` keeps
/// half of it; the rest is left to a machine under load.
const BOUND: Duration = Duration::from_secs(2);

/// A store that keeps the revision of a document without content.
struct MemoryStore {
    clock: ProcessClock,
    revision: Cell<u64>,
    changed: Notify,
}

impl MemoryStore {
    fn publish(&self) {
        self.revision.set(self.revision.get() + 1);
        self.changed.notify_waiters();
    }
}

/// A daemon's access to the store.
struct CountedSource {
    store: Rc<MemoryStore>,
    calls: Cell<u64>,
}

impl CountedSource {
    fn reading(&self) -> DocumentReading {
        let revision = self.store.revision.get();
        DocumentReading {
            document: DocumentUpdate::New(ConfigDocument {
                revision: Revision(revision),
                resources: Vec::new(),
                warnings: Vec::new(),
            }),
            evacuations: EvacuationUpdate::Whole(Default::default()),
            era: StoreEra(1),
            position: Version(revision),
            store_millis: self.store.clock.now().micros() / 1_000,
        }
    }
}

#[async_trait(?Send)]
impl DocumentSource for CountedSource {
    async fn read(&self) -> Result<DocumentReading, PlatformError> {
        self.calls.set(self.calls.get() + 1);
        Ok(self.reading())
    }

    async fn watch(
        &self,
        position: Version,
        wait: Duration,
    ) -> Result<WatchResponse, PlatformError> {
        self.calls.set(self.calls.get() + 1);
        let changed = self.store.changed.notified();
        if self.store.revision.get() <= position.0 {
            // Without a change the wait ends with the present state.
            let _ = actix_rt::time::timeout(wait, changed).await;
        }
        Ok(WatchResponse::Reading(self.reading()))
    }
}

/// A daemon's configuration, its listener and its access to the store.
struct Follower {
    config: ConfigHandle,
    member: LiveMember,
    source: Rc<CountedSource>,
    _listener: PeerListener,
}

impl Follower {
    async fn open(name: &str, zone: &str, store: &Rc<MemoryStore>, others: &[LiveMember]) -> Self {
        let key = FleetKey::open("0123456789abcdef");
        let config = Rc::new(OnceCell::<ConfigHandle>::new());
        let served = Rc::clone(&config);
        let handler: PeerHandler = Rc::new(move |opening, mut stream| {
            let config = served.get().cloned();
            Box::pin(async move {
                let (Some(config), PeerOpening::Call(PeerCall::Config(call))) = (config, opening)
                else {
                    return;
                };
                let held = PeerReply::Config(ConfigReply::Held);
                let reply = match call {
                    ConfigCall::Watch(request) => {
                        let hold = async || stream.send(&held).await.is_ok();
                        let reply = config.serve_watch(request, hold).await;
                        reply.map(ConfigReply::Watched)
                    }
                    call => Some(config.serve(call).await),
                };
                if let Some(reply) = reply {
                    // The caller may be gone by now.
                    let _ = stream.send(&PeerReply::Config(reply)).await;
                    let _ = stream.finish();
                }
            })
        });
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let listener = PeerListener::bind(any, key.clone(), handler).await.unwrap();
        let member = LiveMember {
            daemon: name.parse().unwrap(),
            boot: BootId(1),
            address: listener.address(),
            zone: zone.parse().unwrap(),
            region: "region-a".parse().unwrap(),
        };
        let mut members = others.to_vec();
        members.push(member.clone());
        let sources = ConfigSources {
            settings: toml::from_str(&format!("address = \"{any}\"")).unwrap(),
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
        let source = Rc::new(CountedSource {
            store: Rc::clone(store),
            calls: Cell::default(),
        });
        let handle = ConfigHandle::spawn_document(sources, Rc::clone(&source) as _, peers);
        assert!(config.set(handle.clone()).is_ok());
        Self {
            config: handle,
            member,
            source,
            _listener: listener,
        }
    }
}

/// A child, its parent behind a relay, and a daemon of another zone.
struct Family {
    store: Rc<MemoryStore>,
    relay: RelayHandle,
    /// Address at which the child knows its parent.
    parent_address: SocketAddr,
    child: Follower,
    _parent: Follower,
    _elsewhere: Follower,
}

impl Family {
    async fn open() -> Self {
        let store = Rc::new(MemoryStore {
            clock: ProcessClock::open(),
            revision: Cell::new(1),
            changed: Notify::new(),
        });
        let parent = Follower::open("parent", "zone-a", &store, &[]).await;
        let elsewhere = Follower::open("elsewhere", "zone-b", &store, &[]).await;
        let relay = RelayHandle::bind(parent.member.address).unwrap();
        let parent_seen = LiveMember {
            address: relay.address(),
            ..parent.member.clone()
        };
        let others = [parent_seen, elsewhere.member.clone()];
        let mut names = (0..100).map(|number| format!("child-{number}"));
        let name = names.find(|name| is_below(name, &others));
        let child = Follower::open(&name.unwrap(), "zone-a", &store, &others).await;
        let family = Self {
            parent_address: relay.address(),
            store,
            relay,
            child,
            _parent: parent,
            _elsewhere: elsewhere,
        };
        family.heard_from_parent().await;
        family
    }

    async fn heard_from_parent(&self) {
        let parent = Some(ConfirmationSource::Peer(self.parent_address));
        eventually("a confirmation by the parent", async || {
            self.child.config.source() == parent
        })
        .await;
    }

    fn child_revision(&self) -> u64 {
        self.child.config.revision().0
    }
}

/// Whether a daemon of the name asks the first of `others`.
fn is_below(name: &str, others: &[LiveMember]) -> bool {
    let mut rng = fastrand::Rng::with_seed(1);
    let own = name.parse().unwrap();
    let tree = WatchTree::new(&own, &others[0].zone, others, &mut rng);
    tree.parent() == Some(others[0].address)
}

/// Guards against a parent that counts as silent because it holds its reply back, so that its children
/// call the store.
#[actix_rt::test]
async fn held_reply_is_no_silence() {
    let family = Family::open().await;
    let before = family.child.source.calls.get();
    actix_rt::time::sleep(Duration::from_secs(4)).await;
    assert_eq!(family.child.config.silent_peers(), 0);
    assert_eq!(family.child.source.calls.get(), before);
    family.store.publish();
    eventually("the change", async || family.child_revision() == 2).await;
    assert_eq!(family.child.source.calls.get(), before);
}

/// Guards against a change that comes late while messages of the parent, to it, or both are lost, and
/// against a store that is called on after the parent is back.
async fn check_lost_messages(mode: RelayMode) {
    let family = Family::open().await;
    family.relay.set(mode);
    family.store.publish();
    let start = family.store.clock.now();
    eventually("the change", async || family.child_revision() == 2).await;
    let span = family.store.clock.now().since(start);
    assert!(span <= BOUND, "{mode:?}: {span:?}");
    eventually("the silence noted", async || {
        family.child.config.silent_peers() > 0
    })
    .await;
    assert_eq!(
        family.child.config.source(),
        Some(ConfirmationSource::Store)
    );
    family.relay.set(RelayMode::Pass);
    family.heard_from_parent().await;
    let source = &family.child.source;
    eventually("no more calls to the store", async || {
        let before = source.calls.get();
        actix_rt::time::sleep(Duration::from_millis(2_500)).await;
        source.calls.get() == before
    })
    .await;
}

#[actix_rt::test]
async fn messages_to_parent_lost() {
    check_lost_messages(RelayMode::DropForward).await;
}

#[actix_rt::test]
async fn messages_of_parent_lost() {
    check_lost_messages(RelayMode::DropBack).await;
}

#[actix_rt::test]
async fn all_messages_lost() {
    check_lost_messages(RelayMode::DropBoth).await;
}
