//! Simulated fleet of configuration followers in virtual time, over a network and a platform with
//! injected faults.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use futures_util::FutureExt;
use wagtailtrack::config::{
    Catalog, ConfigAction, ConfigChange, ConfigFollower, ConfigStore, FollowerAction,
    FollowerRules, RowLayout, SnapshotSource,
};
use wagtailtrack::ids::Revision;
use wagtailtrack::platform::{PlatformError, RowWrite, Transaction};
use wagtailtrack::resource::{ClientKey, ConfigResource, KeyHash};
use wagtailtrack::time::MonoTime;
use wagtailtrack::wire::{ConfigState, SnapshotCursor};

use super::memory_platform::{MemoryMode, MemoryPlatform};

/// Interval between two ticks of a follower.
const TICK_MILLIS: u64 = 200;
/// Longest delay of a message or read.
const MAX_DELAY_MILLIS: u64 = 30;

/// One simulated daemon.
pub struct NetMember {
    pub follower: ConfigFollower,
    pub address: SocketAddr,
    /// Number of restarts; events scheduled before the last one are dropped.
    restarts: u64,
}

/// An event that is scheduled for a member.
enum NetEvent {
    Tick,
    Execute(FollowerAction),
    Head(MonoTime, Result<Revision, PlatformError>),
    Answer(MonoTime, SocketAddr, Option<ConfigState>),
    Changes(Result<Vec<ConfigChange>, PlatformError>),
    Snapshot(Box<Option<Catalog>>),
}

/// Fleet of followers, its platform and the faults between them.
pub struct FollowerNet {
    pub members: Vec<NetMember>,
    pub platform: std::rc::Rc<MemoryPlatform>,
    /// Links on which all messages from the first to the second member are lost.
    pub blocked_links: BTreeSet<(usize, usize)>,
    /// Members whose reads from the platform fail.
    pub platform_blocked: BTreeSet<usize>,
    /// Percentage of messages lost at random.
    pub loss_percent: u8,
    pub rng: fastrand::Rng,
    pub now_millis: u64,
    rules: FollowerRules,
    /// Due time in milliseconds, member, its restarts when scheduled, event.
    events: Vec<(u64, usize, u64, NetEvent)>,
}

impl FollowerNet {
    pub fn open(members: usize, seed: u64, lease: Duration) -> Self {
        let rules = FollowerRules {
            lease,
            query_interval: Duration::from_secs(1),
            fleet_polls_per_second: 100,
            is_document: false,
        };
        let mut net = Self {
            members: Vec::new(),
            platform: std::rc::Rc::default(),
            blocked_links: BTreeSet::new(),
            platform_blocked: BTreeSet::new(),
            loss_percent: 0,
            rng: fastrand::Rng::with_seed(seed),
            // Not near zero: a daemon's clock has run for long when the test starts.
            now_millis: 100_000_000,
            rules,
            events: Vec::new(),
        };
        for index in 0..members {
            let follower = net.follower(index as u64);
            let address = SocketAddr::from(([127, 0, 0, 1], 1_000 + index as u16));
            net.members.push(NetMember {
                follower,
                address,
                restarts: 0,
            });
            net.schedule(index, NetEvent::Tick);
        }
        net
    }

    pub fn now(&self) -> MonoTime {
        MonoTime::from_millis(self.now_millis)
    }

    /// Replaces a member by a new process without a configuration.
    pub fn restart(&mut self, index: usize) {
        let epoch = self.rng.u64(..);
        self.members[index].follower = self.follower(epoch);
        self.members[index].restarts += 1;
        self.schedule(index, NetEvent::Tick);
    }

    /// Blocks or unblocks all messages to `index`.
    pub fn block_inbound(&mut self, index: usize, is_blocked: bool) {
        for other in (0..self.members.len()).filter(|other| *other != index) {
            if is_blocked {
                self.blocked_links.insert((other, index));
            } else {
                self.blocked_links.remove(&(other, index));
            }
        }
    }

    pub fn run_for(&mut self, millis: u64, mut check: impl FnMut(&Self)) {
        let end = self.now_millis + millis;
        while let Some(position) = self.next_event(end) {
            let (due, index, restarts, event) = self.events.swap_remove(position);
            self.now_millis = due;
            if self.members[index].restarts == restarts {
                self.deliver(index, event);
                check(self);
            }
        }
        self.now_millis = end;
    }

    /// Commits a change of a key through the daemon `index`, as its API does.
    pub fn set_key(&mut self, index: usize, withdrawn: bool) -> Revision {
        let head = self.head();
        let change = ConfigChange {
            revision: head.next(),
            operation: format!("op-{}", head.next()).parse().unwrap(),
            action: ConfigAction::Put(ConfigResource::Key(ClientKey {
                id: "k1".parse().unwrap(),
                account: "a1".parse().unwrap(),
                hash: key_hash(),
                withdrawn,
            })),
        };
        let write = |key, value| RowWrite {
            key,
            value: Some(value),
        };
        let stored = serde_json::json!({ "version": change.revision, "resource": match &change.action {
            ConfigAction::Put(resource) | ConfigAction::Remove(resource) => resource,
        }});
        let transaction = Transaction {
            checks: Vec::new(),
            writes: vec![
                write(
                    RowLayout::log(change.revision),
                    serde_json::to_vec(&change).unwrap(),
                ),
                write(
                    RowLayout::head(),
                    serde_json::to_vec(&change.revision).unwrap(),
                ),
                write(
                    RowLayout::resource(&change.name()),
                    serde_json::to_vec(&stored).unwrap(),
                ),
            ],
        };
        self.platform.commit_now(&transaction).unwrap();
        let actions = self.members[index].follower.change_committed(&change);
        self.schedule_actions(index, actions);
        change.revision
    }

    pub fn head(&self) -> Revision {
        let rows = self.platform.table.borrow().read(&[RowLayout::head()]);
        rows[0].as_ref().map_or(Revision(0), |row| {
            serde_json::from_slice(&row.value).unwrap()
        })
    }

    pub fn revision(&self, index: usize) -> Revision {
        self.members[index].follower.catalog().revision()
    }

    pub fn admits(&self, index: usize) -> bool {
        self.members[index].follower.freshness(self.now()).admits()
    }

    fn follower(&self, epoch: u64) -> ConfigFollower {
        ConfigFollower::open(self.rules, epoch, self.now())
    }

    fn next_event(&self, end: u64) -> Option<usize> {
        let due = self
            .events
            .iter()
            .enumerate()
            .filter(|(_, event)| event.0 <= end);
        due.min_by_key(|(_, event)| event.0)
            .map(|(position, _)| position)
    }

    fn schedule(&mut self, index: usize, event: NetEvent) {
        let delay = match event {
            NetEvent::Tick => TICK_MILLIS,
            _ => self.rng.u64(1..=MAX_DELAY_MILLIS),
        };
        let restarts = self.members[index].restarts;
        self.events
            .push((self.now_millis + delay, index, restarts, event));
    }

    fn schedule_actions(&mut self, index: usize, actions: Vec<FollowerAction>) {
        for action in actions {
            self.schedule(index, NetEvent::Execute(action));
        }
    }

    fn deliver(&mut self, index: usize, event: NetEvent) {
        let now = self.now();
        let follower = &mut self.members[index].follower;
        let actions = match event {
            NetEvent::Tick => {
                let live = self.live(index);
                self.schedule(index, NetEvent::Tick);
                let rng = &mut self.rng;
                self.members[index].follower.tick(now, &live, rng)
            }
            NetEvent::Execute(action) => {
                self.execute(index, action);
                return;
            }
            NetEvent::Head(sent, head) => follower.head_read(sent, head),
            NetEvent::Answer(sent, from, state) => follower.peer_answered(sent, from, state),
            NetEvent::Changes(changes) => follower.changes_read(changes),
            NetEvent::Snapshot(snapshot) => follower.snapshot_read(*snapshot),
        };
        self.schedule_actions(index, actions);
    }

    /// The live peers as `index` sees them: the members whose messages reach it.
    fn live(&self, index: usize) -> Vec<SocketAddr> {
        let is_live =
            |other: &usize| *other != index && !self.blocked_links.contains(&(*other, index));
        let others = (0..self.members.len()).filter(is_live);
        others.map(|other| self.members[other].address).collect()
    }

    fn execute(&mut self, index: usize, action: FollowerAction) {
        let sent = self.now();
        let event = match action {
            FollowerAction::ReadHead => NetEvent::Head(sent, self.read_platform(index, Self::head)),
            FollowerAction::ReadChanges(after, until) => {
                let changes = self.read_platform(index, |net| {
                    let store = net.store();
                    let changing = store.changes(after, until);
                    changing.now_or_never().unwrap().unwrap()
                });
                NetEvent::Changes(changes)
            }
            FollowerAction::QueryPeer(peer, have) => {
                let answer = self.query(index, peer, have);
                NetEvent::Answer(sent, peer, answer)
            }
            FollowerAction::PushChanges(peer, changes) => {
                if let Some(other) = self.deliver_to(index, peer) {
                    let actions = self.members[other].follower.changes_pushed(&changes);
                    self.schedule_actions(other, actions);
                }
                return;
            }
            FollowerAction::ReadSnapshot(SnapshotSource::Platform) => {
                let scanned = self.read_platform(index, |net| {
                    net.store().read_catalog().now_or_never().unwrap().unwrap()
                });
                NetEvent::Snapshot(Box::new(scanned.ok()))
            }
            FollowerAction::ReadSnapshot(SnapshotSource::Peer(peer)) => {
                NetEvent::Snapshot(Box::new(self.peer_snapshot(index, peer)))
            }
        };
        self.schedule(index, event);
    }

    fn store(&self) -> ConfigStore {
        ConfigStore::open(self.platform.clone())
    }

    fn read_platform<T>(
        &mut self,
        index: usize,
        read: impl FnOnce(&Self) -> T,
    ) -> Result<T, PlatformError> {
        let is_down = self.platform.mode.get() == MemoryMode::Down;
        if is_down || self.platform_blocked.contains(&index) || self.loses_message() {
            return Err(PlatformError::Unavailable("unreachable".to_owned()));
        }
        Ok(read(self))
    }

    fn query(&mut self, index: usize, peer: SocketAddr, have: Revision) -> Option<ConfigState> {
        let other = self.deliver_to(index, peer)?;
        let follower = &self.members[other].follower;
        let state = follower
            .is_loaded()
            .then(|| follower.state(have, self.now()))?;
        self.deliver_to(other, self.members[index].address)?;
        Some(state)
    }

    fn peer_snapshot(&mut self, index: usize, peer: SocketAddr) -> Option<Catalog> {
        let other = self.deliver_to(index, peer)?;
        self.deliver_to(other, self.members[index].address)?;
        let follower = &self.members[other].follower;
        let mut page = follower.snapshot_page(SnapshotCursor::Services)?;
        let mut catalog = Catalog::from_resources(page.revision, None);
        loop {
            page.items
                .into_iter()
                .for_each(|item| catalog.insert_item(item));
            match page.next {
                Some(next) => page = follower.snapshot_page(next)?,
                None => return Some(catalog),
            }
        }
    }

    /// The member at `peer`, if a message from `index` is delivered to it.
    fn deliver_to(&mut self, index: usize, peer: SocketAddr) -> Option<usize> {
        let other = self
            .members
            .iter()
            .position(|member| member.address == peer)?;
        let is_lost = self.blocked_links.contains(&(index, other)) || self.loses_message();
        (!is_lost).then_some(other)
    }

    fn loses_message(&mut self) -> bool {
        self.rng.u8(..100) < self.loss_percent
    }
}

/// The hash of the key that `set_key` writes.
pub fn key_hash() -> KeyHash {
    KeyHash::hash_secret("the secret of k1")
}
