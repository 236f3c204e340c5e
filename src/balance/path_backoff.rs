//! Exponential backoff after failures of the network path to an instance's egress.

use std::time::Duration;

use serde::Serialize;

use crate::time::{Deadline, MonoTime};

/// Wait after a first failure.
const FIRST_WAIT: Duration = Duration::from_millis(500);
/// Largest number of doublings: the wait is at most 32 s.
const MAX_DOUBLINGS: u32 = 6;

/// Blocks a path after a failure, for a wait that doubles with each further one.
///
/// It holds for one ingress only and ejects no instance.
#[derive(Debug, Clone, Copy, Serialize)]
pub(super) struct PathBackoff {
    /// Failures since the last response; those during a wait do not count.
    failures: u32,
    /// End of the wait.
    until: Deadline,
}

impl PathBackoff {
    /// Returns the state of a path without failures.
    pub(super) const fn open() -> Self {
        Self {
            failures: 0,
            until: Deadline::at(MonoTime::ZERO),
        }
    }

    /// Begins a wait after a failure, unless one is in progress.
    pub(super) fn on_failure(&mut self, now: MonoTime) {
        if self.is_blocked(now) {
            return;
        }
        let wait = FIRST_WAIT * 2_u32.pow(self.failures.min(MAX_DOUBLINGS));
        self.until = now.after(wait);
        self.failures = self.failures.saturating_add(1);
    }

    /// Resets the backoff, because a response has arrived over the path.
    pub(super) const fn on_response(&mut self) {
        *self = Self::open();
    }

    /// Whether a wait is in progress, so that the path is to be avoided.
    pub(super) fn is_blocked(&self, now: MonoTime) -> bool {
        !self.until.has_passed(now)
    }
}
