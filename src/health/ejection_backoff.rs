//! Exponential backoff between the ejection of an instance and the attempts to readmit it.

use std::time::Duration;

use serde::Serialize;

use crate::resource::RecoveryRule;
use crate::time::{Deadline, MonoTime};

/// Wait after a first ejection.
const FIRST_WAIT: Duration = Duration::from_secs(2);
/// Largest number of doublings for instances that recover by probes: the wait is at most two
/// minutes.
const MAX_DOUBLINGS: u32 = 6;
/// Largest number of doublings for instances that recover by requests of callers, which cost
/// little and show the state at once.
const MAX_REQUEST_DOUBLINGS: u32 = 1;
/// Time after which one past ejection no longer counts.
const FORGIVE_AFTER: Duration = Duration::from_secs(60);
/// Largest random addition as a share of the wait, so that instances do not return in step.
const JITTER_SHARE: f64 = 0.25;

/// A wait that doubles with each ejection; one past ejection a minute stops counting.
#[derive(Debug, Clone, Serialize)]
pub(super) struct EjectionBackoff {
    /// Number of past ejections that count.
    #[serde(rename = "offences")]
    ejections: u32,
    ejected_at: MonoTime,
    /// End of the wait.
    until: Deadline,
    recovery: RecoveryRule,
}

impl EjectionBackoff {
    /// Returns a backoff without past ejections, for an instance that recovers by probes.
    pub(super) const fn open() -> Self {
        Self {
            ejections: 0,
            ejected_at: MonoTime::ZERO,
            until: Deadline::at(MonoTime::ZERO),
            recovery: RecoveryRule::Probes,
        }
    }

    /// Sets how the instance recovers, which limits the wait.
    pub(super) const fn set_recovery(&mut self, recovery: RecoveryRule) {
        self.recovery = recovery;
    }

    /// Begins the wait after an ejection.
    pub(super) fn begin(&mut self, now: MonoTime, rng: &mut fastrand::Rng) {
        self.forgive(now);
        let max_doublings = match self.recovery {
            RecoveryRule::Probes => MAX_DOUBLINGS,
            RecoveryRule::Requests => MAX_REQUEST_DOUBLINGS,
        };
        let wait = FIRST_WAIT * 2_u32.pow(self.ejections.min(max_doublings));
        let jitter = wait.mul_f64(JITTER_SHARE * rng.f64());
        self.until = now.after(wait + jitter);
        self.ejections = self.ejections.saturating_add(1);
        self.ejected_at = now;
    }

    /// Whether the wait is over.
    pub(super) fn has_passed(&self, now: MonoTime) -> bool {
        self.until.has_passed(now)
    }

    /// Subtracts one ejection for each `FORGIVE_AFTER` since the last one.
    fn forgive(&mut self, now: MonoTime) {
        let periods = now.since(self.ejected_at).as_secs() / FORGIVE_AFTER.as_secs();
        let forgiven = u32::try_from(periods).unwrap_or(u32::MAX);
        self.ejections = self.ejections.saturating_sub(forgiven);
    }
}
