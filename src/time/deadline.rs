//! Deadlines on the process's monotonic clock.

use std::fmt;
use std::time::Duration;

use crate::time::MonoTime;

/// A point on this process's monotonic clock at which a timeout, lease or wait ends.
///
/// Messages between processes carry the remaining time, and each process stores its own deadline.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, serde::Serialize)]
#[serde(transparent)]
pub struct Deadline(MonoTime);

impl Deadline {
    /// Creates a deadline that passes at `time`.
    #[must_use]
    pub const fn at(time: MonoTime) -> Self {
        Self(time)
    }

    /// Returns the clock reading at which the deadline passes.
    #[must_use]
    pub const fn time(self) -> MonoTime {
        self.0
    }

    /// Returns whether `now` is at or after the deadline.
    #[must_use]
    pub fn has_passed(self, now: MonoTime) -> bool {
        now >= self.0
    }

    /// Returns the deadline that passes `span` earlier.
    #[must_use]
    pub fn before(self, span: Duration) -> Self {
        let span_micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        let micros = self.0.micros().saturating_sub(span_micros);
        Self(MonoTime::from_micros(micros))
    }

    /// Returns the time left at `now`, or zero once the deadline has passed.
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
