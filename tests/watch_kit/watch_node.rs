//! One daemon of the simulated fleet.

use std::time::Duration;

use wagtailtrack::config::{
    DocumentWatcher, PeerUpdate, PeerWatcher, StoreSchedule, WatchStatus, WatchTree,
};
use wagtailtrack::evacuation::EvacuationState;
use wagtailtrack::ids::Revision;
use wagtailtrack::members::LiveMember;
use wagtailtrack::time::MonoTime;
use wagtailtrack::wire::WatchRequest;

use super::{AnswerParts, LEASE, OpenQuestion};

pub struct WatchNode {
    pub tree: WatchTree,
    pub store_watcher: DocumentWatcher,
    pub peer_watcher: PeerWatcher,
    pub schedule: StoreSchedule,
    pub rng: fastrand::Rng,
    /// How far its clock is ahead of the fleet's time, in microseconds.
    pub offset: u64,
    pub revision: Option<Revision>,
    pub evacuations: EvacuationState,
    pub confirmed_at: Option<MonoTime>,
    pub is_away: bool,
    pub is_silent: bool,
    pub asked: u64,
    pub question: Option<OpenQuestion>,
    /// When the asked node was last heard of the open question.
    pub heard_at: u64,
    /// Number of the next turn of the store's driver, and whether it only waits until then.
    pub store_turn: (u64, bool),
    /// Number of the open request for a document, and what the peer said of it.
    pub load: Option<(u64, PeerUpdate)>,
    /// Questions that wait here: asking node and number.
    pub kept: Vec<(usize, u64)>,
    pub questions: u64,
    /// Questions that this node asked daemons of other zones.
    pub zone_questions: u64,
}

impl WatchNode {
    pub fn open(own: &LiveMember, members: &[LiveMember], rng: &mut fastrand::Rng) -> Self {
        let offset = rng.u64(0..1 << 40);
        let start = MonoTime::from_micros(offset);
        Self {
            tree: WatchTree::new(&own.daemon, &own.zone, members, rng),
            store_watcher: DocumentWatcher::open(LEASE, start),
            peer_watcher: PeerWatcher::open(LEASE, start),
            schedule: StoreSchedule::open(LEASE, start),
            rng: rng.fork(),
            offset,
            revision: None,
            evacuations: EvacuationState::default(),
            confirmed_at: None,
            is_away: false,
            is_silent: false,
            asked: 0,
            question: None,
            load: None,
            heard_at: 0,
            store_turn: (0, false),
            kept: Vec::new(),
            questions: 0,
            zone_questions: 0,
        }
    }

    /// Its clock at the fleet's time `now`.
    pub fn local(&self, now: u64) -> MonoTime {
        MonoTime::from_micros(now + self.offset)
    }

    pub fn age(&self, now: u64) -> Option<Duration> {
        self.confirmed_at.map(|time| self.local(now).since(time))
    }

    pub fn status(&self, now: u64) -> WatchStatus {
        WatchStatus {
            is_root: self.tree.is_root(),
            has_peers: self.tree.peer_at(0).is_some(),
            is_unheard: self.peer_watcher.is_unheard(),
            has_parent_lost_store: self.peer_watcher.has_parent_lost_store(),
            age: self.age(now).filter(|_| self.revision.is_some()),
        }
    }

    pub fn answer(&self, now: u64) -> AnswerParts {
        let age = self
            .age(now)
            .map(|age| u64::try_from(age.as_micros()).unwrap());
        let revision = self.revision.map(|revision| revision.0);
        let store_lost = self.tree.is_root() && self.store_watcher.failures() > 0;
        let known = self.evacuations.mark().map(|mark| mark.version.0);
        (self.local(now).micros(), revision, age, store_lost, known)
    }

    /// Whether it knows more than the asking daemon.
    pub fn has_news(&self, request: &WatchRequest, now: u64) -> bool {
        let (clock, revision, age, store_lost, _) = self.answer(now);
        let report = self.evacuations.report(self.local(now));
        let tells_zones = report.is_some_and(|report| report.is_news_to(request.evacuations));
        let confirmed = age.map(|age| clock - age);
        (store_lost && !request.store_lost)
            || tells_zones
            || revision.map(Revision) > request.have
            || match request.confirmed_micros {
                Some(known) => confirmed > Some(known),
                None => confirmed.is_some(),
            }
    }
}
