//! How long an ejected instance stays out before it is tried again.

use std::time::Duration;

use serde::Serialize;

use crate::time::{Deadline, MonoTime};

const FIRST_WAIT: Duration = Duration::from_secs(2);
const MAX_DOUBLINGS: u32 = 6;
const FORGIVE_AFTER: Duration = Duration::from_secs(60);
const JITTER_SHARE: f64 = 0.25;

/// A wait that doubles with each ejection and forgives one a minute.
#[derive(Debug, Clone, Serialize)]
pub(super) struct EjectBackoff {
    offences: u32,
    ejected_at: MonoTime,
    until: Deadline,
}

impl EjectBackoff {
    /// A clean record.
    pub(super) const fn open() -> Self {
        Self {
            offences: 0,
            ejected_at: MonoTime::ZERO,
            until: Deadline::at(MonoTime::ZERO),
        }
    }

    /// Begins the wait of a new ejection.
    pub(super) fn begin(&mut self, now: MonoTime, rng: &mut fastrand::Rng) {
        self.forgive(now);
        let wait = FIRST_WAIT * 2_u32.pow(self.offences.min(MAX_DOUBLINGS));
        let jitter = wait.mul_f64(JITTER_SHARE * rng.f64());
        self.until = now.after(wait + jitter);
        self.offences = self.offences.saturating_add(1);
        self.ejected_at = now;
    }

    /// Whether the wait is over.
    pub(super) fn has_passed(&self, now: MonoTime) -> bool {
        self.until.has_passed(now)
    }

    fn forgive(&mut self, now: MonoTime) {
        let spent = now.since(self.ejected_at).as_secs() / FORGIVE_AFTER.as_secs();
        let forgiven = u32::try_from(spent).unwrap_or(u32::MAX);
        self.offences = self.offences.saturating_sub(forgiven);
    }
}
