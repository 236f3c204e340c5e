//! Readings of the process's monotonic clock.

use std::fmt;
use std::time::Duration;

use crate::time::Deadline;

/// Microseconds since the origin of the process's clock. Readings of different processes must not be
/// compared.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, serde::Serialize)]
#[serde(transparent)]
pub struct MonoTime(u64);

impl MonoTime {
    /// The clock's origin.
    pub const ZERO: Self = Self(0);

    /// Creates a reading of `micros` microseconds.
    #[must_use]
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Creates a reading of `millis` milliseconds.
    #[must_use]
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1_000)
    }

    /// Returns the microseconds since the origin.
    #[must_use]
    pub const fn micros(self) -> u64 {
        self.0
    }

    /// Returns the deadline that passes `span` after this reading, saturating.
    #[must_use]
    pub fn after(self, span: Duration) -> Deadline {
        Deadline::at(self + span)
    }

    /// Returns the time elapsed since `earlier`, or zero when `earlier` is later than this reading.
    #[must_use]
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl std::ops::Add<Duration> for MonoTime {
    type Output = Self;

    fn add(self, span: Duration) -> Self {
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(micros))
    }
}

impl fmt::Display for MonoTime {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}us", self.0)
    }
}
