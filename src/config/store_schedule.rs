//! Decides when a daemon calls the configuration's store itself.

use std::time::Duration;

use crate::time::{Deadline, MonoTime};

/// Fraction of the freshness lease after which a daemon that hears nothing newer from its peers turns
/// to the store. The rest is time for two calls.
const FALLBACK_LEASE_FRACTION: f64 = 0.55;
/// The same while the parent says that it has lost the store. Its children then hear of a new document
/// from the store alone, and must do so within two seconds.
const LOST_STORE_LEASE_FRACTION: f64 = 0.3;
/// Time after the start in which other daemons may be found, before the store is read.
const START_WAIT: Duration = Duration::from_millis(150);
/// Shortest pause between two reads of a daemon that does not watch the store.
const READ_PAUSE: Duration = Duration::from_millis(500);
/// Mean pause, in leases, between two reads while peers answer but know nothing newer. The store is
/// then likely down for those that watch it, and the whole fleet must not call it in their place.
const DOUBTFUL_LEASES: u32 = 2;
/// Longest time until the schedule is looked at again.
const MAX_WAIT: Duration = Duration::from_millis(250);

/// What the daemon knows when it decides.
#[derive(Debug, Clone, Copy)]
pub struct WatchStatus {
    /// Whether the daemon is one of those that watch the store.
    pub is_root: bool,
    /// Whether other daemons are live.
    pub has_peers: bool,
    /// Whether a daemon that it asks is silent.
    pub is_unheard: bool,
    /// Whether the daemon that it asks has lost the store.
    pub has_parent_lost_store: bool,
    /// Time since the last confirmation; none before the first.
    pub age: Option<Duration>,
}

/// Whether to call the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreStep {
    /// Read the document, and watch it from then on.
    Watch,
    /// Read the document once.
    Read,
    /// Make no call for this long.
    Wait(Duration),
}

/// Schedule of one daemon's calls to the store.
#[derive(Debug)]
pub struct StoreSchedule {
    lease: Duration,
    start: Deadline,
    read_at: Deadline,
    /// When the store is read while peers answer and know nothing newer; none while they do.
    doubtful_at: Option<Deadline>,
}

impl StoreSchedule {
    /// Creates the schedule of a daemon that starts at `now`.
    #[must_use]
    pub fn open(lease: Duration, now: MonoTime) -> Self {
        Self {
            lease,
            start: now.after(START_WAIT),
            read_at: Deadline::at(now),
            doubtful_at: None,
        }
    }

    /// The step at `now`.
    pub fn next_step(
        &mut self,
        status: &WatchStatus,
        now: MonoTime,
        rng: &mut fastrand::Rng,
    ) -> StoreStep {
        if status.age.is_none() && !self.start.has_passed(now) {
            return StoreStep::Wait(self.start.remaining(now).min(MAX_WAIT));
        }
        // Silence is known in less than a second, and a watch takes as few calls as one of a root.
        if status.is_root || !status.has_peers || status.is_unheard {
            return StoreStep::Watch;
        }
        let lost_store_fallback = self.lease.mul_f64(LOST_STORE_LEASE_FRACTION);
        let fallback = match status.has_parent_lost_store {
            true => lost_store_fallback,
            false => self.lease.mul_f64(FALLBACK_LEASE_FRACTION),
        };
        if let Some(age) = status.age.filter(|age| *age < fallback) {
            self.doubtful_at = None;
            // The parent may lose the store at any time, so the schedule is looked at again before
            // the age at which that would call for a read.
            let wait = lost_store_fallback.saturating_sub(age);
            return StoreStep::Wait(wait.max(READ_PAUSE / 4));
        }
        let due_at = match status.has_parent_lost_store {
            true => self.read_at,
            false => self.doubtful_due(now, rng).max(self.read_at),
        };
        if !due_at.has_passed(now) {
            return StoreStep::Wait(due_at.remaining(now).min(MAX_WAIT));
        }
        self.read_at = now.after(READ_PAUSE);
        self.doubtful_at = None;
        StoreStep::Read
    }

    /// When to read although peers answer. The first time is drawn from one lease, so that a fleet
    /// whose watchers lose the store does not turn to it at once.
    fn doubtful_due(&mut self, now: MonoTime, rng: &mut fastrand::Rng) -> Deadline {
        let span = self.lease * DOUBTFUL_LEASES;
        *self
            .doubtful_at
            .get_or_insert_with(|| now.after(span.mul_f64(rng.f64())))
    }
}
