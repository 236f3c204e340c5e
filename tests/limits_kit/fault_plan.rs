//! How often and how badly things go wrong.

use super::SECOND;

/// How often and how badly things go wrong.
#[derive(Debug, Clone)]
pub struct FaultPlan {
    /// Lost or doubled, in percent of the messages.
    pub lossy_percent: u64,
    /// Longest delay of a message, in microseconds.
    pub delay: u64,
    /// Mean time between pauses of some node, in microseconds; 0 for none.
    pub pause_every: u64,
    /// Mean time between changes of some node's view of the fleet; 0 for none.
    pub view_change_every: u64,
    /// Mean time between replacements of some node; 0 for none.
    pub replace_every: u64,
    /// From when to when the platform is away, in seconds.
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
