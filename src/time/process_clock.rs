//! Reads the operating system's monotonic clock; nothing else reads it.

use rustix::time::{ClockId, Timespec, clock_gettime};

use crate::time::MonoTime;

const MICROS_PER_SEC: u64 = 1_000_000;
const NANOS_PER_MICRO: u64 = 1_000;

/// Measures the time elapsed since the clock was created.
///
/// It includes the time during which the VM was suspended, because leases and grants expire meanwhile.
#[derive(Debug, Clone, Copy)]
pub struct ProcessClock {
    origin_micros: u64,
}

impl ProcessClock {
    /// Creates a clock whose origin is the current time.
    #[must_use]
    pub fn open() -> Self {
        Self {
            origin_micros: boot_micros(),
        }
    }

    /// Returns the current reading.
    #[must_use]
    pub fn now(&self) -> MonoTime {
        MonoTime::from_micros(boot_micros().saturating_sub(self.origin_micros))
    }
}

fn boot_micros() -> u64 {
    let Timespec { tv_sec, tv_nsec } = clock_gettime(ClockId::Boottime);
    // The time since boot is never negative.
    let secs = u64::try_from(tv_sec).unwrap_or(0);
    let nanos = u64::try_from(tv_nsec).unwrap_or(0);
    secs * MICROS_PER_SEC + nanos / NANOS_PER_MICRO
}
