//! Rates and sizes of the faults that a simulated fleet injects.

use super::SECOND;

/// Rates and sizes of the injected faults.
#[derive(Debug, Clone)]
pub struct FaultPlan {
    /// Percentage of messages lost, and of messages duplicated.
    pub lossy_percent: u64,
    /// Longest delay of a late message, in microseconds.
    pub delay: u64,
    /// Mean time between pauses of any node, in microseconds; 0 for none.
    pub pause_every: u64,
    /// Mean time between changes of any node's list of live daemons, in microseconds; 0 for none.
    pub view_change_every: u64,
    /// Mean time between replacements of any node, in microseconds; 0 for none.
    pub replace_every: u64,
    /// Start and end of a platform outage, in seconds.
    pub outage: (u64, u64),
}

impl FaultPlan {
    pub const fn none() -> Self {
        Self {
            lossy_percent: 0,
            delay: SECOND / 500,
            pause_every: 0,
            view_change_every: 0,
            replace_every: 0,
            outage: (0, 0),
        }
    }
}
