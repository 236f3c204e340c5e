//! Share of a service's requests that go to another zone rather than wait long in their own.

use std::time::Duration;

use serde::Serialize;

use crate::time::{Deadline, MonoTime};

/// Pressure of the zone up to which nothing overflows.
const LOW_PRESSURE: f64 = 0.6;
/// Pressure from which the largest share overflows.
const HIGH_PRESSURE: f64 = 1.2;
/// Largest share. The others keep testing how long the wait in the zone is.
const MAX_SHARE: f64 = 0.8;
/// Mean step by which a sample raises the share.
const RAISE_STEP: f64 = 0.15;
/// Mean step by which a sample raises the share while most of the zone's capacity is unusable.
const REDUCED_RAISE_STEP: f64 = 0.4;
/// Mean step by which a sample lowers the share.
const LOWER_STEP: f64 = 0.08;
/// Difference from its target at which the share is left as it is.
const DEAD_BAND: f64 = 0.1;
/// How long the share is not lowered after it was raised.
const HOLD: Duration = Duration::from_millis(700);
/// Rate at which the share falls while there are no samples, per second.
const IDLE_FALL_PER_SEC: f64 = 0.3;

/// Follows the pressure of the zone, in steps with jitter so that ingresses do not move at once.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct OverflowShare {
    share: f64,
    changed_at: MonoTime,
    held_until: Deadline,
}

impl Default for OverflowShare {
    fn default() -> Self {
        Self {
            share: 0.0,
            changed_at: MonoTime::ZERO,
            held_until: Deadline::at(MonoTime::ZERO),
        }
    }
}

impl OverflowShare {
    /// Moves the share towards the one that fits `pressure`. It is raised faster when `is_reduced`:
    /// most of the zone's capacity is unusable.
    pub fn adjust(
        &mut self,
        pressure: f64,
        is_reduced: bool,
        now: MonoTime,
        rng: &mut fastrand::Rng,
    ) {
        let target = target_share(pressure);
        let share = self.value(now);
        let jitter = 0.5 + rng.f64();
        if target > share + DEAD_BAND {
            let step = match is_reduced {
                true => REDUCED_RAISE_STEP,
                false => RAISE_STEP,
            };
            self.share = (share + step * jitter).min(target);
            self.held_until = now.after(HOLD);
        } else if self.held_until.has_passed(now) && (target < share - DEAD_BAND || target == 0.0) {
            self.share = (share - LOWER_STEP * jitter).max(target);
        } else {
            self.share = share;
        }
        self.changed_at = now;
    }

    /// Returns the present share, from 0 to 1.
    #[must_use]
    pub fn value(&self, now: MonoTime) -> f64 {
        let falls_from = self.changed_at.max(self.held_until.time());
        let idle_secs = now.since(falls_from).as_secs_f64();
        (self.share - idle_secs * IDLE_FALL_PER_SEC).max(0.0)
    }

    /// Draws whether a request belongs to the share.
    pub fn draw(&self, now: MonoTime, rng: &mut fastrand::Rng) -> bool {
        let share = self.value(now);
        share > 0.0 && rng.f64() < share
    }
}

fn target_share(pressure: f64) -> f64 {
    let part = (pressure - LOW_PRESSURE) / (HIGH_PRESSURE - LOW_PRESSURE);
    part.clamp(0.0, 1.0) * MAX_SHARE
}
