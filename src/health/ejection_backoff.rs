//! How long an ejected instance stays out before it is tried again.

use std::time::Duration;

use serde::Serialize;

use crate::resource::RecoveryRule;
use crate::time::{Deadline, MonoTime};

/// Wait after a first ejection.
const FIRST_WAIT: Duration = Duration::from_secs(2);
/// The wait doubles at most this often: to two minutes, for instances that are tried by probes.
const MAX_DOUBLINGS: u32 = 6;
/// The same for instances that are tried by callers' requests, which cost little and tell at once.
const MAX_REQUEST_DOUBLINGS: u32 = 1;
/// Time after which one ejection is forgotten.
const FORGIVE_AFTER: Duration = Duration::from_secs(60);
/// Part of the wait that is drawn by lot, so that instances do not come back in step.
const JITTER_SHARE: f64 = 0.25;

/// A wait that doubles with each ejection and forgives one a minute.
#[derive(Debug, Clone, Serialize)]
pub(super) struct EjectionBackoff {
    offences: u32,
    ejected_at: MonoTime,
    until: Deadline,
    recovery: RecoveryRule,
}

impl EjectionBackoff {
    /// A clean record.
    pub(super) const fn open() -> Self {
        Self {
            offences: 0,
            ejected_at: MonoTime::ZERO,
            until: Deadline::at(MonoTime::ZERO),
            recovery: RecoveryRule::Probes,
        }
    }

    /// Sets how the instance is tried.
    pub(super) const fn set_recovery(&mut self, recovery: RecoveryRule) {
        self.recovery = recovery;
    }

    /// Begins the wait of a new ejection.
    pub(super) fn begin(&mut self, now: MonoTime, rng: &mut fastrand::Rng) {
        self.forgive(now);
        let most = match self.recovery {
            RecoveryRule::Probes => MAX_DOUBLINGS,
            RecoveryRule::Requests => MAX_REQUEST_DOUBLINGS,
        };
        let wait = FIRST_WAIT * 2_u32.pow(self.offences.min(most));
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
