//! What an ingress believes of the load of an instance.

use serde::Serialize;

use crate::time::MonoTime;
use crate::wire::LoadFigure;

const HALF_LIFE_SECS: f64 = 0.1;

/// The load last heard, which ages, and the requests started since.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub(super) struct LoadEstimate {
    heard: f64,
    heard_at: MonoTime,
    started_since: u32,
    in_flight: u32,
}

impl LoadEstimate {
    /// A request goes to the instance.
    pub(super) const fn started(&mut self) {
        self.in_flight = self.in_flight.saturating_add(1);
        self.started_since = self.started_since.saturating_add(1);
    }

    /// A request has ended without a word of the load.
    pub(super) const fn ended(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// A request has ended, and its answer carried the load.
    pub(super) fn heard(&mut self, load: LoadFigure, now: MonoTime) {
        self.ended();
        self.heard = f64::from(load.in_use) + f64::from(load.queued);
        self.heard_at = now;
        self.started_since = 0;
    }

    /// Requests believed to run or wait at the instance.
    pub(super) fn value(&self, now: MonoTime) -> f64 {
        let age_secs = now.since(self.heard_at).as_secs_f64();
        let heard = self.heard * (-age_secs / HALF_LIFE_SECS).exp2();
        let believed = heard + f64::from(self.started_since.min(self.in_flight));
        believed.max(f64::from(self.in_flight))
    }
}
