//! The rate limits of several daemons in one process, connected over real sockets.

use std::cell::RefCell;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use wagtailtrack::ids::{AccountId, BootId};
use wagtailtrack::limits::{HomeCandidate, LimitsHandle, LimitsSources, MemberSource};
use wagtailtrack::peers::{FleetKey, PeerHandler, PeerListener, PeerPool};
use wagtailtrack::resource::RateLimit;
use wagtailtrack::settings::LimitsSettings;
use wagtailtrack::time::ProcessClock;
use wagtailtrack::units::{Burst, Rate};
use wagtailtrack::wire::{PeerCall, PeerOpening, PeerReply};

use super::MemoryTable;

const SECRET: &str = "a secret for the tests";

/// A limit of `rate` requests per second.
pub fn rate_limit(account: &str, rate: u64, burst: u32) -> RateLimit {
    RateLimit {
        account: account.parse().unwrap(),
        rate: Rate::per_second(rate).unwrap(),
        burst: Burst::new(burst).unwrap(),
    }
}

/// One daemon of the fleet. Dropping it simulates a crash.
pub struct FleetDaemon {
    pub handle: LimitsHandle,
    pub address: SocketAddr,
    pub clock: ProcessClock,
    _listener: PeerListener,
}

type HandleSlot = Rc<RefCell<Option<LimitsHandle>>>;

struct BoundDaemon {
    name: String,
    handle: HandleSlot,
    listener: PeerListener,
}

/// The table, the limits and the list of live daemons, which all daemons share.
pub struct LimitsFleet {
    pub table: Rc<MemoryTable>,
    pub limits: Rc<RefCell<Vec<RateLimit>>>,
    pub members: Rc<RefCell<Vec<HomeCandidate>>>,
    pub settings: LimitsSettings,
}

impl LimitsFleet {
    pub fn open(limits: Vec<RateLimit>) -> Self {
        Self {
            table: Rc::new(MemoryTable::open()),
            limits: Rc::new(RefCell::new(limits)),
            members: Rc::default(),
            settings: LimitsSettings::default(),
        }
    }

    /// Starts three daemons, each with all three in its list of live daemons.
    pub async fn spawn_three(&self) -> [FleetDaemon; 3] {
        let mut bound = Vec::new();
        for name in ["one", "two", "three"] {
            bound.push(self.bind(name, "127.0.0.1:0").await);
        }
        let daemons: Vec<_> = bound.into_iter().map(|one| self.start(one)).collect();
        daemons.try_into().ok().unwrap()
    }

    /// Starts a daemon and adds it to the list of live daemons.
    pub async fn spawn(&self, name: &str, address: &str) -> FleetDaemon {
        let bound = self.bind(name, address).await;
        self.start(bound)
    }

    async fn bind(&self, name: &str, address: &str) -> BoundDaemon {
        let handle = HandleSlot::default();
        let listener = self.listen(address, Rc::clone(&handle)).await;
        self.add_member(name, listener.address());
        BoundDaemon {
            name: name.to_owned(),
            handle,
            listener,
        }
    }

    fn start(&self, bound: BoundDaemon) -> FleetDaemon {
        let address = bound.listener.address();
        let clock = ProcessClock::open();
        let (versions, members) = (Rc::clone(&self.members), Rc::clone(&self.members));
        let limits = Rc::clone(&self.limits);
        let handle = LimitsHandle::spawn(LimitsSources {
            settings: self.settings.clone(),
            daemon: bound.name.parse().unwrap(),
            boot: BootId(fastrand::u64(1..)),
            clock,
            own_address: address,
            peers: PeerPool::open(FleetKey::open(SECRET)),
            platform: Rc::clone(&self.table) as _,
            start_spread: Duration::ZERO,
            members: MemberSource {
                version: Rc::new(move || list_version(&versions.borrow())),
                list: Rc::new(move || members.borrow().clone()),
                zones: Rc::new(Default::default),
            },
            rate_of: Rc::new(move |account| find_limit(&limits.borrow(), account)),
        });
        bound.handle.replace(Some(handle.clone()));
        FleetDaemon {
            handle,
            address,
            clock,
            _listener: bound.listener,
        }
    }

    /// Removes a daemon from the list of live daemons.
    pub fn remove_member(&self, name: &str) {
        let mut members = self.members.borrow_mut();
        members.retain(|member| member.daemon.as_str() != name);
    }

    fn add_member(&self, name: &str, address: SocketAddr) {
        self.remove_member(name);
        let daemon = name.parse().unwrap();
        let mut members = self.members.borrow_mut();
        members.push(HomeCandidate { daemon, address });
    }

    async fn listen(&self, address: &str, handle: HandleSlot) -> PeerListener {
        let handler: PeerHandler = Rc::new(move |opening, mut stream| {
            let handle = handle.borrow().clone();
            Box::pin(async move {
                if let (PeerOpening::Call(PeerCall::Limits(call)), Some(handle)) = (opening, handle)
                {
                    let reply = PeerReply::Limits(handle.serve(call).await);
                    let _ = stream.send(&reply).await;
                    let _ = stream.finish();
                }
            })
        });
        let key = FleetKey::open(SECRET);
        PeerListener::bind(address.parse().unwrap(), key, handler)
            .await
            .unwrap()
    }
}

fn find_limit(limits: &[RateLimit], account: &AccountId) -> Option<RateLimit> {
    limits
        .iter()
        .find(|limit| limit.account == *account)
        .cloned()
}

fn list_version(members: &[HomeCandidate]) -> u64 {
    let mut hasher = DefaultHasher::new();
    members.hash(&mut hasher);
    hasher.finish()
}
