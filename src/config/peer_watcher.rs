//! State machine that hears of the configuration from another daemon.

use std::net::SocketAddr;
use std::time::Duration;

use crate::config::{MAX_ALTERNATES, StoreClock, WatchTree};
use crate::ids::{BootId, Revision};
use crate::time::{Deadline, MonoTime};
use crate::wire::{WatchReply, WatchRequest};

/// Fraction of the freshness lease for which the peer may hold the answer back.
const WAIT_LEASE_FRACTION: f64 = 0.25;
/// Interval at which a peer shows that it lives while it holds the answer back.
const HELD_INTERVAL: Duration = Duration::from_millis(250);
/// Time without a message of the peer after which it counts as silent: two intervals and time for a
/// lost packet. With a read of the store it is less than the second in which a daemon must have a
/// change.
const PEER_SILENCE: Duration = Duration::from_millis(600);
/// Time after which the store is called beside a load from a peer. It adds up along the tree where
/// messages to the parents are lost, so it is shorter than the silence.
const LOAD_PATIENCE: Duration = Duration::from_millis(200);
/// Pause after an unsuccessful question. It is doubled with each further one in a row.
const RETRY_PAUSE: Duration = Duration::from_millis(50);
/// Most doublings of the pause.
const MAX_DOUBLINGS: u32 = 4;
/// Fraction of the freshness lease that the last confirmation must be old before an answer without
/// a newer one counts as unsuccessful.
const OLD_LEASE_FRACTION: f64 = 0.4;
/// How long another peer than the parent is asked before the parent is tried again.
const RETURN_AFTER: Duration = Duration::from_secs(3);
/// Unsuccessful answers in a row after which the store is likely down, so that asking further daemons
/// is of no use.
const FRUITLESS_ROUND: u32 = 3;
/// Position of the grandparent among the choices, which stands in for a silent parent.
const GRANDPARENT: u32 = u32::MAX;
/// How long only the parent is asked then.
const REST_AFTER_ROUND: Duration = Duration::from_secs(5);

/// The next question for the driver to ask.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerStep {
    /// Ask this peer, and give up when it sends nothing for this long.
    Ask(SocketAddr, WatchRequest, Duration),
    /// Ask nothing before this time.
    Pause(Deadline),
}

/// What a peer's answer says of the configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerUpdate {
    /// The peer's revision.
    pub revision: Revision,
    /// A time at which the peer's revision was the newest; none if the peer does not know one.
    pub confirmed_at: Option<MonoTime>,
}

/// Decides which peer to ask and when, without I/O of its own.
#[derive(Debug)]
pub struct PeerWatcher {
    wait: Duration,
    /// The peer that answered last, with its run and the mapping of its clock.
    session: Option<PeerSession>,
    /// Questions and loads in a row that were not answered.
    failures: u32,
    /// Whether the last question went to the parent.
    asks_parent: bool,
    /// Whether the peer that told of a newer document is late to send it.
    is_load_late: bool,
    /// Questions in a row that brought nothing new although the last confirmation is old, or the peer has
    /// lost the store.
    fruitless: u32,
    /// The parent at the last step.
    parent: Option<SocketAddr>,
    /// Position of the present peer among the choices; the parent is the first.
    position: u32,
    /// The alternate that is asked next.
    next_alternate: u32,
    /// When the parent is tried again.
    return_at: Deadline,
    /// Until when only the parent is asked.
    rest_until: Deadline,
    /// Whether the parent did not answer when it was asked last.
    is_parent_lost: bool,
    /// Whether the parent says that its calls to the store fail.
    has_parent_lost_store: bool,
    /// Age from which the last confirmation is old.
    old_age: Duration,
    resume_at: Deadline,
}

#[derive(Debug)]
struct PeerSession {
    peer: SocketAddr,
    boot: BootId,
    clock: StoreClock,
    /// When the last confirmation was made, by the peer's clock in microseconds.
    confirmed_micros: Option<u64>,
}

impl PeerWatcher {
    /// Creates a watcher for confirmations that stay valid for `lease`.
    #[must_use]
    pub fn open(lease: Duration, now: MonoTime) -> Self {
        Self {
            wait: lease.mul_f64(WAIT_LEASE_FRACTION),
            session: None,
            failures: 0,
            asks_parent: false,
            is_load_late: false,
            fruitless: 0,
            parent: None,
            position: 0,
            next_alternate: 0,
            return_at: Deadline::at(now),
            rest_until: Deadline::at(now),
            is_parent_lost: false,
            has_parent_lost_store: false,
            old_age: lease.mul_f64(OLD_LEASE_FRACTION),
            resume_at: Deadline::at(now),
        }
    }

    /// The next step at `now`, with the revision `have` in force. A daemon without other daemons
    /// pauses for one wait.
    #[must_use]
    pub fn next_step(
        &mut self,
        tree: &WatchTree,
        have: Option<Revision>,
        now: MonoTime,
    ) -> PeerStep {
        if !self.resume_at.has_passed(now) {
            return PeerStep::Pause(self.resume_at);
        }
        if self.return_at.has_passed(now) || self.parent != tree.parent() {
            self.position = 0;
        }
        self.parent = tree.parent();
        if self.position == GRANDPARENT && tree.grandparent().is_none() {
            self.position = self.take_alternate();
        }
        let peer = match self.position {
            GRANDPARENT => tree.grandparent(),
            position => tree.peer_at(position),
        };
        let Some(peer) = peer else {
            return PeerStep::Pause(now.after(self.wait));
        };
        self.asks_parent = self.position == 0;
        let session = self.session.as_ref().filter(|session| session.peer == peer);
        let request = WatchRequest {
            have,
            boot: session.map_or(BootId(0), |session| session.boot),
            confirmed_micros: session.and_then(|session| session.confirmed_micros),
            store_lost: self.position == 0 && self.has_parent_lost_store,
            evacuations: None,
            wait_micros: u64::try_from(self.wait.as_micros()).unwrap_or(0),
            held_interval_micros: u64::try_from(HELD_INTERVAL.as_micros()).unwrap_or(0),
        };
        PeerStep::Ask(peer, request, PEER_SILENCE)
    }

    /// Handles the answer of `peer` to a question that was sent at `sent`; none when it failed.
    /// `confirmed_at` is the time of the last confirmation that this daemon knows.
    pub fn answered(
        &mut self,
        peer: SocketAddr,
        sent: MonoTime,
        now: MonoTime,
        reply: Option<WatchReply>,
        confirmed_at: Option<MonoTime>,
    ) -> Option<PeerUpdate> {
        let Some(reply) = reply else {
            self.fail(now);
            return None;
        };
        self.failures = 0;
        if self.asks_parent {
            self.is_parent_lost = false;
            self.has_parent_lost_store = reply.store_lost;
        }
        let update = reply.revision.map(|revision| PeerUpdate {
            revision,
            confirmed_at: self.confirmation_time(peer, sent, now, &reply),
        });
        let is_new = update.is_some_and(|update| update.confirmed_at > confirmed_at);
        let is_old = confirmed_at.is_none_or(|time| now.since(time) >= self.old_age);
        if is_new {
            self.fruitless = 0;
        } else if is_old || reply.store_lost {
            self.fruitless += 1;
            self.turn_to_next(self.fruitless, now);
        } else if self.position != 0 && self.position != GRANDPARENT {
            // The peer may itself hear of the document from this daemon alone.
            self.turn_to_next(0, now);
        }
        update
    }

    /// Longest time without a part of the document while it is loaded from a peer.
    #[must_use]
    pub const fn load_silence() -> Duration {
        PEER_SILENCE
    }

    /// Time after which a load is late.
    #[must_use]
    pub const fn load_patience() -> Duration {
        LOAD_PATIENCE
    }

    /// Handles that the document of which the last answer told is late. The messages of the peer
    /// arrive, and those to it may be lost.
    pub const fn load_late(&mut self) {
        self.is_load_late = true;
    }

    /// Handles the end of a load from the peer that answered last.
    pub fn load_ended(&mut self, is_loaded: bool, now: MonoTime) {
        self.is_load_late = false;
        if !is_loaded {
            self.fail(now);
        }
    }

    /// Whether the parent, or the daemon that was asked last, is silent or late. This daemon then watches
    /// the store until its parent answers: the daemons that it asks in the parent's place may hear of a
    /// change from it alone.
    #[must_use]
    pub const fn is_unheard(&self) -> bool {
        self.is_parent_lost || self.is_load_late || self.failures > 0
    }

    /// Whether the parent answers and has lost the store.
    #[must_use]
    pub const fn has_parent_lost_store(&self) -> bool {
        self.has_parent_lost_store
    }

    /// Records a question or a load without an answer, and turns to the next peer.
    fn fail(&mut self, now: MonoTime) {
        self.failures += 1;
        if self.asks_parent && !self.is_parent_lost {
            // Often only the connection is silent; the parent is asked once more over a new one.
            self.is_parent_lost = true;
            self.resume_at = now.after(RETRY_PAUSE);
            return;
        }
        let return_at = self.return_at;
        self.turn_to_next(self.failures, now);
        if !self.asks_parent {
            self.return_at = return_at;
        }
        if self.asks_parent && self.position != 0 {
            self.position = GRANDPARENT;
        }
    }

    /// Maps the time of the peer's confirmation to this daemon's clock, as a lower bound.
    fn confirmation_time(
        &mut self,
        peer: SocketAddr,
        sent: MonoTime,
        now: MonoTime,
        reply: &WatchReply,
    ) -> Option<MonoTime> {
        let is_same =
            |session: &&mut PeerSession| session.peer == peer && session.boot == reply.boot;
        if self.session.as_mut().filter(is_same).is_none() {
            self.session = Some(PeerSession {
                peer,
                boot: reply.boot,
                clock: StoreClock::default(),
                confirmed_micros: None,
            });
        }
        let session = self.session.as_mut()?;
        let answered_at = session
            .clock
            .answer_lower_bound(sent, now, reply.clock_micros / 1_000);
        let age = reply.age_micros?;
        session.confirmed_micros = Some(reply.clock_micros.saturating_sub(age));
        let micros = answered_at.micros().checked_sub(age)?;
        Some(MonoTime::from_micros(micros))
    }

    /// Turns to the next peer after `count` unsuccessful questions, with a pause.
    fn turn_to_next(&mut self, count: u32, now: MonoTime) {
        if self.fruitless >= FRUITLESS_ROUND {
            self.fruitless = 0;
            self.position = 0;
            self.rest_until = now.after(REST_AFTER_ROUND);
        } else if self.rest_until.has_passed(now) {
            self.position = self.take_alternate();
            self.return_at = now.after(RETURN_AFTER);
        }
        let doublings = count.saturating_sub(1).min(MAX_DOUBLINGS);
        self.resume_at = now.after(RETRY_PAUSE * 2_u32.pow(doublings));
    }

    /// Returns the position of the next alternate.
    const fn take_alternate(&mut self) -> u32 {
        let position = 1 + self.next_alternate % MAX_ALTERNATES;
        self.next_alternate = self.next_alternate.wrapping_add(1);
        position
    }
}
