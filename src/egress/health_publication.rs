//! Decides when the fleet hears of a change of an instance's health.

use std::time::Duration;

use crate::time::MonoTime;
use crate::wire::HealthState;

/// Members of the fleet for each second that a turn for the worse must last before it is published.
/// Each daemon hears of about this many changes a second at most, whatever the size of the fleet.
const MEMBERS_PER_SECOND: usize = 70;

/// The health that the fleet knows of, next to the present one.
///
/// A turn for the better is published at once. One for the worse is published when it has lasted for
/// a time that grows with the fleet: until then the egress refuses what the instance cannot take,
/// and each ingress that hears so avoids the instance for a while.
#[derive(Debug, Clone, Copy)]
pub struct HealthPublication {
    published: HealthState,
    worse_since: Option<MonoTime>,
}

impl HealthPublication {
    /// Creates the publication of a healthy instance.
    #[must_use]
    pub const fn open() -> Self {
        Self {
            published: HealthState::Healthy,
            worse_since: None,
        }
    }

    /// How long a turn for the worse must last in a fleet of `members`.
    #[must_use]
    pub fn hold(members: usize) -> Duration {
        let members = u32::try_from(members).unwrap_or(u32::MAX);
        Duration::from_secs(1) * members / MEMBERS_PER_SECOND as u32
    }

    /// The state that the fleet should know.
    #[must_use]
    pub const fn state(&self) -> HealthState {
        self.published
    }

    /// Takes in the `present` state. Returns whether the state to publish has changed.
    pub fn advance(&mut self, present: HealthState, hold: Duration, now: MonoTime) -> bool {
        if present == self.published {
            self.worse_since = None;
            return false;
        }
        if severity(present) > severity(self.published) {
            let since = *self.worse_since.get_or_insert(now);
            if now.since(since) < hold {
                return false;
            }
        }
        self.published = present;
        self.worse_since = None;
        true
    }
}

const fn severity(state: HealthState) -> u8 {
    match state {
        HealthState::Healthy => 0,
        HealthState::Ramping(_) => 1,
        HealthState::Suspect => 2,
        HealthState::Ejected => 3,
    }
}
