//! Whether this ingress can reach an instance.

use std::time::Duration;

use serde::Serialize;

use crate::time::{Deadline, MonoTime};

const FIRST_WAIT: Duration = Duration::from_millis(500);
const MAX_DOUBLINGS: u32 = 6;

/// Failures of the path to one egress, with a wait that doubles; not an ejection.
#[derive(Debug, Clone, Copy, Serialize)]
pub(super) struct PathBackoff {
    failures: u32,
    until: Deadline,
}

impl PathBackoff {
    /// A path without failures.
    pub(super) const fn open() -> Self {
        Self {
            failures: 0,
            until: Deadline::at(MonoTime::ZERO),
        }
    }

    /// The path has failed.
    pub(super) fn failed(&mut self, now: MonoTime) {
        if self.is_blocked(now) {
            return;
        }
        let wait = FIRST_WAIT * 2_u32.pow(self.failures.min(MAX_DOUBLINGS));
        self.until = now.after(wait);
        self.failures = self.failures.saturating_add(1);
    }

    /// The path has carried an answer.
    pub(super) const fn answered(&mut self) {
        *self = Self::open();
    }

    /// Whether to avoid the path for now.
    pub(super) fn is_blocked(&self, now: MonoTime) -> bool {
        !self.until.has_passed(now)
    }
}
