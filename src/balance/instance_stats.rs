//! Statistics that an ingress keeps about one instance, beyond its record.

use serde::Serialize;

use crate::balance::load_estimate::LoadEstimate;
use crate::balance::path_backoff::PathBackoff;
use crate::time::{Deadline, MonoTime};

/// Time in which the count of recent picks halves.
const HALF_LIFE_SECS: f64 = 1.0;

/// The load, the path and the recent picks of one instance.
#[derive(Debug, Clone, Copy, Serialize)]
pub(super) struct InstanceStats {
    /// Its estimated load.
    pub(super) load: LoadEstimate,
    /// The path to its egress.
    pub(super) path: PathBackoff,
    /// Until when it is avoided because its egress refused a request for its health.
    pub(super) avoid_until: Deadline,
    /// Until when it is not offered anything because it is cold and takes no request before.
    pub(super) cold_until: Deadline,
    /// Picks as of `counted_at`; decays exponentially.
    #[serde(rename = "choices")]
    picks: f64,
    counted_at: MonoTime,
}

impl InstanceStats {
    /// Returns the statistics of an instance that was never picked.
    pub(super) fn open() -> Self {
        Self {
            load: LoadEstimate::default(),
            path: PathBackoff::open(),
            avoid_until: Deadline::at(MonoTime::ZERO),
            cold_until: Deadline::at(MonoTime::ZERO),
            picks: 0.0,
            counted_at: MonoTime::ZERO,
        }
    }

    /// Counts a pick of the instance, and the request that is sent to it.
    pub(super) fn on_pick(&mut self, now: MonoTime) {
        self.picks = self.recent_picks(now) + 1.0;
        self.counted_at = now;
        self.load.on_start();
    }

    /// Number of recent picks; a pick counts half after each second.
    pub(super) fn recent_picks(&self, now: MonoTime) -> f64 {
        let age_secs = now.since(self.counted_at).as_secs_f64();
        self.picks * (-age_secs / HALF_LIFE_SECS).exp2()
    }
}
