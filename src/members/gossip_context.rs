//! Context of one step of the membership protocol.

use crate::members::GossipAction;
use crate::time::MonoTime;

/// Time, random generator and gathered actions of one step of `GossipCore`.
pub(super) struct GossipContext<'rng> {
    pub(super) now: MonoTime,
    pub(super) rng: &'rng mut fastrand::Rng,
    pub(super) actions: Vec<GossipAction>,
    /// Whether the sender of the message introduced itself, so that the answer does too.
    pub(super) is_introduction: bool,
}

impl<'rng> GossipContext<'rng> {
    /// Creates the context of a step at `now`, without actions.
    pub(super) const fn open(now: MonoTime, rng: &'rng mut fastrand::Rng) -> Self {
        Self {
            now,
            rng,
            actions: Vec::new(),
            is_introduction: false,
        }
    }
}
