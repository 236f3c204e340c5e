//! Accounting record of a request that holds a slot.

use std::time::Duration;

use crate::ids::AccountId;
use crate::resource::RequestClass;
use crate::time::MonoTime;

/// Charge made for a request when it started, to be corrected when it ends.
#[derive(Debug, Clone)]
pub(super) struct RunningRequest {
    /// Client account that was charged.
    pub(super) account: AccountId,
    /// Request class that was charged.
    pub(super) class: RequestClass,
    /// When the request got its slot.
    pub(super) started: MonoTime,
    /// Expected service time that was charged, in seconds.
    pub(super) charged_secs: f64,
}

impl RunningRequest {
    /// How long the request has held its slot.
    pub(super) fn age(&self, now: MonoTime) -> Duration {
        now.since(self.started)
    }

    /// Expected time until the request frees its slot, in seconds.
    ///
    /// A request that has outlived its charge is expected to take as long again as it is late.
    pub(super) fn residual_secs(&self, now: MonoTime) -> f64 {
        (self.charged_secs - self.age(now).as_secs_f64()).abs()
    }
}
