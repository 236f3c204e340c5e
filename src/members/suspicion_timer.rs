//! How long a suspicion waits for its refutation.

use std::time::Duration;

use crate::ids::DaemonId;
use crate::time::{Deadline, MonoTime};

const LEAST_WAIT: Duration = Duration::from_secs(2);
const SOLE_ACCUSER_FACTOR: u32 = 4;
const CONFIRMATIONS: usize = 2;

/// A suspicion against one member; each further accuser brings its end nearer.
#[derive(Debug, Clone)]
pub struct SuspicionTimer {
    accusers: Vec<DaemonId>,
    ends: [Deadline; CONFIRMATIONS + 1],
}

impl SuspicionTimer {
    /// Starts the wait after the first accusation, in a fleet of `live` members.
    ///
    /// `consecutive_failures` counts this daemon's own failed probes in a row: the more, the likelier
    /// it is that its own network is at fault, and the longer it waits.
    #[must_use]
    pub fn start(accuser: DaemonId, live: usize, consecutive_failures: u32, now: MonoTime) -> Self {
        let least = LEAST_WAIT.mul_f64(fleet_factor(live)) * (1 + consecutive_failures);
        let most = least * SOLE_ACCUSER_FACTOR;
        let middle = (least + most) / 2;
        // A fleet of three has but one possible accuser besides the daemon itself.
        let ends = match live {
            0..=3 => [now.after(least); CONFIRMATIONS + 1],
            _ => [now.after(most), now.after(middle), now.after(least)],
        };
        Self {
            accusers: vec![accuser],
            ends,
        }
    }

    /// Takes in an accusation by `accuser`; whether it is a new one.
    pub fn confirm(&mut self, accuser: &DaemonId) -> bool {
        if self.accusers.len() > CONFIRMATIONS || self.accusers.contains(accuser) {
            return false;
        }
        self.accusers.push(accuser.clone());
        true
    }

    /// When the member counts as dead.
    #[must_use]
    pub fn deadline(&self) -> Deadline {
        self.ends[self.accusers.len() - 1]
    }
}

/// Grows with the logarithm of the fleet, as the spread of a refutation does.
#[expect(clippy::cast_precision_loss, reason = "fleets lie far below 2^52")]
fn fleet_factor(live: usize) -> f64 {
    (live.max(1) as f64).log10().max(1.0)
}
