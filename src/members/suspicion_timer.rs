//! Timeout of a suspicion, which shortens with each independent report.

use std::time::Duration;

use crate::ids::DaemonId;
use crate::time::{Deadline, MonoTime};

// Shortest timeout, in fleets of up to ten members; it grows with the logarithm of the fleet.
const MIN_TIMEOUT: Duration = Duration::from_secs(2);
// Ratio of the timeout with a sole reporter to the one after all confirmations.
const MAX_TIMEOUT_FACTOR: u32 = 4;
// Further reporters that shorten the timeout.
const CONFIRMATIONS: usize = 2;

/// Timer of the suspicion of one member; up to `CONFIRMATIONS` further reporters shorten it.
#[derive(Debug, Clone)]
pub struct SuspicionTimer {
    reporters: Vec<DaemonId>,
    ends: [Deadline; CONFIRMATIONS + 1],
}

impl SuspicionTimer {
    /// Starts the timer after the first report, in a fleet of `live` members.
    ///
    /// `consecutive_failures` counts this daemon's own failed probes in a row. The more there are,
    /// the likelier its own network is at fault, and the longer the timeout.
    #[must_use]
    pub fn start(
        reporter: DaemonId,
        live: usize,
        consecutive_failures: u32,
        now: MonoTime,
    ) -> Self {
        let min = MIN_TIMEOUT.mul_f64(fleet_size_factor(live)) * (1 + consecutive_failures);
        let max = min * MAX_TIMEOUT_FACTOR;
        let middle = (min + max) / 2;
        // A fleet of three has only one possible reporter besides the daemon itself.
        let ends = match live {
            0..=3 => [now.after(min); CONFIRMATIONS + 1],
            _ => [now.after(max), now.after(middle), now.after(min)],
        };
        Self {
            reporters: vec![reporter],
            ends,
        }
    }

    /// Counts a report by `reporter`; returns whether it is a new one that shortens the timeout.
    pub fn confirm(&mut self, reporter: &DaemonId) -> bool {
        if self.reporters.len() > CONFIRMATIONS || self.reporters.contains(reporter) {
            return false;
        }
        self.reporters.push(reporter.clone());
        true
    }

    /// Returns when the suspicion times out and the member counts as dead.
    #[must_use]
    pub fn deadline(&self) -> Deadline {
        self.ends[self.reporters.len() - 1]
    }
}

/// Returns the decimal logarithm of the fleet size, at least 1: a refutation takes that much longer
/// to spread.
#[expect(clippy::cast_precision_loss, reason = "fleets lie far below 2^52")]
fn fleet_size_factor(live: usize) -> f64 {
    (live.max(1) as f64).log10().max(1.0)
}
