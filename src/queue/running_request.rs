//! A request that holds a slot.

use std::time::Duration;

use crate::ids::AccountId;
use crate::resource::RequestClass;
use crate::time::MonoTime;

/// What was charged for a request when it started, to be corrected when it ends.
#[derive(Debug, Clone)]
pub(super) struct RunningRequest {
    /// The client account that pays.
    pub(super) account: AccountId,
    /// The class of the work.
    pub(super) class: RequestClass,
    /// When it started.
    pub(super) started: MonoTime,
    /// Service time charged so far, in seconds.
    pub(super) charged_secs: f64,
}

impl RunningRequest {
    /// Time it has held its slot.
    pub(super) fn age(&self, now: MonoTime) -> Duration {
        now.since(self.started)
    }

    /// Expected time until it frees its slot: once late, as much again as it is late.
    pub(super) fn residual_secs(&self, now: MonoTime) -> f64 {
        (self.charged_secs - self.age(now).as_secs_f64()).abs()
    }
}
