//! Reads the VM's wall clock.

use std::time::{SystemTime, UNIX_EPOCH};

/// Returns the Unix time in milliseconds by the VM's wall clock, which may be set at any time; 0 before
/// the epoch.
#[must_use]
pub fn unix_millis() -> u64 {
    let wall = SystemTime::now().duration_since(UNIX_EPOCH);
    wall.map_or(0, |wall| {
        u64::try_from(wall.as_millis()).unwrap_or(u64::MAX)
    })
}
