//! A point in time by which something must have happened.

use std::fmt;
use std::time::Duration;

use crate::time::MonoTime;

/// A reading of this process's clock at which something ends.
///
/// Between processes the remaining time travels; each side stores its own deadline.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, serde::Serialize)]
#[serde(transparent)]
pub struct Deadline(MonoTime);

impl Deadline {
    /// The deadline at `time`.
    #[must_use]
    pub const fn at(time: MonoTime) -> Self {
        Self(time)
    }

    /// When it ends.
    #[must_use]
    pub const fn time(self) -> MonoTime {
        self.0
    }

    /// Whether `now` lies at or past the end.
    #[must_use]
    pub fn has_passed(self, now: MonoTime) -> bool {
        now >= self.0
    }

    /// Time left at `now`, zero once passed.
    #[must_use]
    pub const fn remaining(self, now: MonoTime) -> Duration {
        self.0.since(now)
    }
}

impl fmt::Display for Deadline {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}
