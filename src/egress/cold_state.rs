//! Whether an instance is cold, as far as its egress knows.

use std::fmt;
use std::time::Duration;

use serde::Serialize;

use crate::egress::ColdStatement;
use crate::instances::AnnounceOrder;
use crate::time::{Deadline, MonoTime};

/// Time without any statement after which an instance of unknown state counts as warm: it does not
/// report its coldness.
const UNSTATED_LIMIT: Duration = Duration::from_secs(30);

/// Whether an instance is cold.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Coldness {
    /// It takes its full load.
    Warm,
    /// It said that it is cold until then.
    Cold(Deadline),
    /// It has said nothing since the last event that may have made it cold.
    Unknown,
}

impl Coldness {
    /// Time that the instance is expected to stay cold; none if that is unknown.
    #[must_use]
    pub const fn left(self, now: MonoTime) -> Option<Duration> {
        match self {
            Self::Warm => Some(Duration::ZERO),
            Self::Cold(until) => Some(until.remaining(now)),
            Self::Unknown => None,
        }
    }
}

impl fmt::Display for Coldness {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Warm => "warm",
            Self::Cold(_) => "cold",
            Self::Unknown => "unknown",
        })
    }
}

/// Derives the coldness of an instance from its statements and from events that may make it cold.
///
/// A statement ends coldness only if the instance made it after the latest evidence of coldness, as
/// announcements arrive late and out of order. One that it may have made before can only prolong
/// coldness.
#[derive(Debug, Clone, Serialize)]
pub struct ColdState {
    coldness: Coldness,
    /// When the latest accepted statement or event took effect.
    known_at: MonoTime,
    /// Position of the latest accepted statement, if it came with one, or of the start.
    #[serde(skip)]
    order: Option<AnnounceOrder>,
    /// Start of the instance's present run, in milliseconds since the Unix epoch, if it named one.
    started_millis: Option<u64>,
    /// Whether the instance has made any statement since its state became unknown.
    has_stated: bool,
    /// Whether no statement was accepted and no event made the state unknown since it was created.
    is_new: bool,
}

impl ColdState {
    /// Creates the unknown state of an instance that was announced at `now` for the first time.
    #[must_use]
    pub const fn open(now: MonoTime) -> Self {
        Self {
            coldness: Coldness::Unknown,
            known_at: now,
            order: None,
            started_millis: None,
            has_stated: false,
            is_new: true,
        }
    }

    /// The state at `now`.
    #[must_use]
    pub fn coldness(&self, now: MonoTime) -> Coldness {
        match self.coldness {
            Coldness::Cold(until) if until.has_passed(now) => Coldness::Warm,
            Coldness::Unknown if !self.has_stated && now.since(self.known_at) >= UNSTATED_LIMIT => {
                Coldness::Warm
            }
            coldness => coldness,
        }
    }

    /// Makes the state unknown, because of an event at `now` after which the instance may be cold.
    pub const fn forget(&mut self, now: MonoTime) {
        self.coldness = Coldness::Unknown;
        self.known_at = now;
        self.order = None;
        self.has_stated = false;
        self.is_new = false;
    }

    /// Takes in the position of an announcement. The first one of a later run makes the state
    /// unknown. Returns whether it did.
    pub fn observe_order(&mut self, order: AnnounceOrder, now: MonoTime) -> bool {
        let known = self.started_millis;
        if known.is_some_and(|known| known >= order.started_millis) {
            return false;
        }
        self.started_millis = Some(order.started_millis);
        if known.is_none() {
            if self.is_new {
                // Only announcements from before the start of this process can be of an earlier run:
                // the others would be known.
                self.known_at = MonoTime::ZERO;
            }
            return false;
        }
        self.forget(now);
        // Every announcement of a run was made after its start.
        self.order = Some(AnnounceOrder {
            started_millis: order.started_millis,
            sequence: 0,
        });
        true
    }

    /// Takes in a statement that arrived at `now`.
    pub fn observe(&mut self, statement: &ColdStatement, now: MonoTime) {
        if self.is_overtaken(statement) {
            return;
        }
        self.has_stated = true;
        let stated = match statement.left {
            Duration::ZERO => Coldness::Warm,
            left => Coldness::Cold(now.after(left)),
        };
        if self.is_newer(statement) {
            self.coldness = stated;
        } else {
            match (self.coldness(now), stated) {
                (Coldness::Warm, Coldness::Cold(_)) => self.coldness = stated,
                (Coldness::Cold(known), Coldness::Cold(until)) if until > known => {
                    self.coldness = stated;
                }
                _ => return,
            }
        }
        self.known_at = now;
        self.order = statement.order;
        self.is_new = false;
    }

    /// Whether the instance made the statement after the latest accepted one or the latest event.
    fn is_newer(&self, statement: &ColdStatement) -> bool {
        match (self.order, statement.order) {
            (Some(known), Some(order)) => order >= known,
            _ => statement
                .made_after
                .is_some_and(|made| made >= self.known_at),
        }
    }

    /// Whether the statement comes from an earlier run, or a newer one of the same run is known.
    fn is_overtaken(&self, statement: &ColdStatement) -> bool {
        let Some(order) = statement.order else {
            return false;
        };
        let is_earlier = |started| order.started_millis < started;
        self.started_millis.is_some_and(is_earlier) || self.order.is_some_and(|known| order < known)
    }
}
