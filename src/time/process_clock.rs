//! The one place that reads the operating system's monotonic clock.

use std::time::Instant;

use crate::time::MonoTime;

/// Reads the monotonic clock, counted from when it was opened.
#[derive(Debug, Clone, Copy)]
pub struct ProcessClock {
    origin: Instant,
}

impl ProcessClock {
    /// Opens a clock whose origin is now.
    #[must_use]
    pub fn open() -> Self {
        Self {
            origin: Instant::now(),
        }
    }

    /// The present reading.
    #[must_use]
    pub fn now(&self) -> MonoTime {
        MonoTime::ZERO + self.origin.elapsed()
    }
}
