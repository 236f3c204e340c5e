//! Estimate of the load of one instance, as seen from an ingress.

use serde::Serialize;

use crate::time::MonoTime;
use crate::wire::InstanceLoad;

/// Time in which the weight of a reported load halves.
const HALF_LIFE_SECS: f64 = 0.1;

/// The load that the egress reported last, which decays, plus the requests started since.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub(super) struct LoadEstimate {
    /// Running and queued requests in the last report.
    #[serde(rename = "heard")]
    reported: f64,
    #[serde(rename = "heard_at")]
    reported_at: MonoTime,
    /// Requests that this ingress has sent since the last report.
    started_since: u32,
    /// Requests of this ingress that have not ended.
    in_flight: u32,
}

impl LoadEstimate {
    /// Counts a request sent to the instance.
    pub(super) const fn on_start(&mut self) {
        self.in_flight = self.in_flight.saturating_add(1);
        self.started_since = self.started_since.saturating_add(1);
    }

    /// Counts the end of a request that reported no load.
    pub(super) const fn on_end(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Counts the end of a request whose response reported the load.
    pub(super) fn on_report(&mut self, load: InstanceLoad, now: MonoTime) {
        self.on_end();
        self.reported = f64::from(load.in_use) + f64::from(load.queued);
        self.reported_at = now;
        self.started_since = 0;
    }

    /// Estimated number of requests that run or wait at the instance.
    pub(super) fn value(&self, now: MonoTime) -> f64 {
        let age_secs = now.since(self.reported_at).as_secs_f64();
        let reported = self.reported * (-age_secs / HALF_LIFE_SECS).exp2();
        let estimate = reported + f64::from(self.started_since.min(self.in_flight));
        estimate.max(f64::from(self.in_flight))
    }
}
