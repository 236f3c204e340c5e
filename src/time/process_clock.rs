//! The one place that reads the operating system's clock of elapsed time.

use rustix::time::{ClockId, Timespec, clock_gettime};

use crate::time::MonoTime;

const MICROS_PER_SEC: u64 = 1_000_000;
const NANOS_PER_MICRO: u64 = 1_000;

/// Reads elapsed time, counted from when the clock was opened.
///
/// The time during which the VM was suspended counts: leases and grants end meanwhile.
#[derive(Debug, Clone, Copy)]
pub struct ProcessClock {
    origin_micros: u64,
}

impl ProcessClock {
    /// Opens a clock whose origin is now.
    #[must_use]
    pub fn open() -> Self {
        Self {
            origin_micros: boot_micros(),
        }
    }

    /// The present reading.
    #[must_use]
    pub fn now(&self) -> MonoTime {
        MonoTime::from_micros(boot_micros().saturating_sub(self.origin_micros))
    }
}

fn boot_micros() -> u64 {
    let Timespec { tv_sec, tv_nsec } = clock_gettime(ClockId::Boottime);
    // Time since the boot is never negative.
    let secs = u64::try_from(tv_sec).unwrap_or(0);
    let nanos = u64::try_from(tv_nsec).unwrap_or(0);
    secs * MICROS_PER_SEC + nanos / NANOS_PER_MICRO
}
