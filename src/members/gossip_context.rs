//! One step of the membership protocol.

use crate::members::GossipAction;
use crate::time::MonoTime;

/// The time of a step, its random choices, and the actions that it gathers.
pub(super) struct GossipContext<'rng> {
    pub(super) now: MonoTime,
    pub(super) rng: &'rng mut fastrand::Rng,
    pub(super) actions: Vec<GossipAction>,
}

impl<'rng> GossipContext<'rng> {
    /// Begins a step.
    pub(super) const fn open(now: MonoTime, rng: &'rng mut fastrand::Rng) -> Self {
        Self {
            now,
            rng,
            actions: Vec::new(),
        }
    }
}
