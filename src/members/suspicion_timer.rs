//! How long a suspicion waits for its refutation.

use std::time::Duration;

use crate::ids::DaemonId;
use crate::time::{Deadline, MonoTime};

const MIN_TIMEOUT: Duration = Duration::from_secs(2);
const MAX_TIMEOUT_FACTOR: u32 = 4;
const CONFIRMATIONS: usize = 2;

/// A suspicion against one member; each further accuser brings its end nearer.
#[derive(Debug, Clone)]
pub struct SuspicionTimer {
    reporters: Vec<DaemonId>,
    ends: [Deadline; CONFIRMATIONS + 1],
}

impl SuspicionTimer {
    /// Starts the wait after the first accusation, in a fleet of `live` members.
    ///
    /// `consecutive_failures` counts this daemon's own failed probes in a row: the more, the likelier
    /// it is that its own network is at fault, and the longer it waits.
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
        // A fleet of three has but one possible accuser besides the daemon itself.
        let ends = match live {
            0..=3 => [now.after(min); CONFIRMATIONS + 1],
            _ => [now.after(max), now.after(middle), now.after(min)],
        };
        Self {
            reporters: vec![reporter],
            ends,
        }
    }

    /// Takes in an accusation by `reporter`; whether it is a new one.
    pub fn confirm(&mut self, reporter: &DaemonId) -> bool {
        if self.reporters.len() > CONFIRMATIONS || self.reporters.contains(reporter) {
            return false;
        }
        self.reporters.push(reporter.clone());
        true
    }

    /// When the member counts as dead.
    #[must_use]
    pub fn deadline(&self) -> Deadline {
        self.ends[self.reporters.len() - 1]
    }
}

/// Grows with the logarithm of the fleet, as the spread of a refutation does.
#[expect(clippy::cast_precision_loss, reason = "fleets lie far below 2^52")]
fn fleet_size_factor(live: usize) -> f64 {
    (live.max(1) as f64).log10().max(1.0)
}
