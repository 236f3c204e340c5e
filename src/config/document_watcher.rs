//! State machine that watches a configuration kept as a single document in a store.

use std::time::Duration;

use crate::config::{ConfigDocument, DocumentReading, DocumentUpdate, StoreClock, WatchResponse};
use crate::evacuation::{EvacuationMark, EvacuationUpdate};
use crate::ids::{StoreEra, Version};
use crate::logs::log_target;
use crate::platform::PlatformError;
use crate::time::{Deadline, MonoTime};

/// Backoff after the first failed call; doubles with each further failure in a row.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);
/// Longest backoff, so that a store that recovers is read again within about a second.
const MAX_BACKOFF: Duration = Duration::from_millis(800);
/// Fraction of the freshness lease for which one watch waits at the store. The rest leaves time to
/// read again after a lost answer, and for the daemons that hear of it from this one.
const WATCH_LEASE_FRACTION: f64 = 0.2;
/// How long the document is read at intervals after a watch failed. Its successor might go unanswered
/// too, while reads are answered.
const POLL_SPAN: Duration = Duration::from_secs(10);

/// The next call for the driver to make.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WatcherStep {
    /// Read the document.
    Read,
    /// Wait for a change after this position, for at most this duration.
    Watch(Version, Duration),
    /// Make no call before this time (backoff after a failure).
    Pause(Deadline),
}

/// What the driver applies after a response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WatcherUpdate {
    /// A new document to put in force.
    pub document: Option<ConfigDocument>,
    /// A time at which the document read last was the newest; none while the newest document is
    /// invalid.
    pub confirmed_at: Option<MonoTime>,
    /// Why the newest document is invalid.
    pub invalid: Option<String>,
    /// What the response says of the evacuated zones.
    pub evacuations: EvacuationUpdate,
    /// The state of the store that the response belongs to.
    pub mark: EvacuationMark,
    /// A time at which the store was in this state.
    pub answered_at: MonoTime,
}

/// Decides when to read and watch the document, without I/O of its own; its driver makes the calls.
#[derive(Debug)]
pub struct DocumentWatcher {
    lease: Duration,
    clock: StoreClock,
    /// Era of the store at the last response; none before the first.
    era: Option<StoreEra>,
    position: Option<Version>,
    /// Whether the newest document is invalid, so that the one in force is no longer the newest.
    is_invalid: bool,
    failures: u32,
    resume_at: Deadline,
    /// Until when the document is read at intervals instead of watched.
    poll_until: Deadline,
}

impl DocumentWatcher {
    /// Creates a watcher whose confirmations stay valid for `lease`.
    #[must_use]
    pub fn open(lease: Duration, now: MonoTime) -> Self {
        Self {
            lease,
            clock: StoreClock::default(),
            era: None,
            position: None,
            is_invalid: false,
            failures: 0,
            resume_at: Deadline::at(now),
            poll_until: Deadline::at(now),
        }
    }

    /// The next step at `now`.
    #[must_use]
    pub fn next_step(&self, now: MonoTime) -> WatcherStep {
        if !self.resume_at.has_passed(now) {
            return WatcherStep::Pause(self.resume_at);
        }
        match self.position {
            Some(position) => {
                WatcherStep::Watch(position, self.lease.mul_f64(WATCH_LEASE_FRACTION))
            }
            None => WatcherStep::Read,
        }
    }

    /// Handles the response to a call sent at `sent` and received at `now`. Returns none after a
    /// failure, lost history or a watch that ended in another era of the store.
    pub fn answered(
        &mut self,
        sent: MonoTime,
        now: MonoTime,
        response: Result<WatchResponse, PlatformError>,
        rng: &mut fastrand::Rng,
    ) -> Option<WatcherUpdate> {
        match response {
            Ok(WatchResponse::Reading(reading)) => {
                let is_watch = self.position.is_some();
                if self.enters_era(reading.era) && is_watch {
                    self.position = None;
                    return None;
                }
                Some(self.apply(sent, now, reading))
            }
            Ok(WatchResponse::HistoryLost) => {
                self.position = None;
                None
            }
            Err(_) => {
                self.fail(now, rng);
                None
            }
        }
    }

    /// Makes the next step a read of the whole document.
    pub const fn read_next(&mut self) {
        self.position = None;
    }

    /// Whether `era` is not that of the response before, as after the store came back from a copy. Its
    /// versions and its clock say nothing of those before.
    fn enters_era(&mut self, era: StoreEra) -> bool {
        let known = self.era.replace(era);
        let is_new = known.is_some_and(|known| known != era);
        if is_new {
            self.clock = StoreClock::default();
            log::warn!(target: log_target::CONFIG, era:%, earlier:? = known; "The store came back from a copy, the configuration document is read again.");
        }
        is_new
    }

    /// Number of failed calls in a row.
    #[must_use]
    pub const fn failures(&self) -> u32 {
        self.failures
    }

    fn apply(&mut self, sent: MonoTime, now: MonoTime, reading: DocumentReading) -> WatcherUpdate {
        self.failures = 0;
        let interval = self.lease.mul_f64(WATCH_LEASE_FRACTION);
        self.position = match self.poll_until.has_passed(now) {
            true => Some(reading.position),
            false => {
                self.resume_at = now.after(interval);
                None
            }
        };
        let answered_at = self
            .clock
            .answer_lower_bound(sent, now, reading.store_millis);
        let (document, invalid) = match reading.document {
            DocumentUpdate::Unchanged => (None, None),
            DocumentUpdate::New(document) => (Some(document), None),
            DocumentUpdate::Invalid(cause) => (None, Some(cause)),
        };
        self.is_invalid = match (&document, &invalid) {
            (Some(_), _) => false,
            (None, Some(_)) => true,
            (None, None) => self.is_invalid,
        };
        WatcherUpdate {
            evacuations: reading.evacuations,
            mark: EvacuationMark {
                era: reading.era,
                version: reading.position,
            },
            answered_at,
            document,
            confirmed_at: (!self.is_invalid).then_some(answered_at),
            invalid,
        }
    }

    fn fail(&mut self, now: MonoTime, rng: &mut fastrand::Rng) {
        if self.position.take().is_some() {
            self.poll_until = now.after(POLL_SPAN);
        }
        let doubled = INITIAL_BACKOFF * 2_u32.pow(self.failures.min(4));
        self.failures = self.failures.saturating_add(1);
        let backoff = doubled.min(MAX_BACKOFF).mul_f64(0.5 + rng.f64() / 2.0);
        self.resume_at = now.after(backoff);
    }
}
