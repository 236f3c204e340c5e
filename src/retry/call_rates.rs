//! Calls that the instances beside a daemon make for the requests that they run.

use std::time::Duration;

use crate::hash::FastMap;
use crate::ids::ServiceId;
use crate::time::{Deadline, MonoTime};
use crate::wire::CallRate;

/// Time after which the counts are halved, so that the rates follow the instances.
const HALF_LIFE: Duration = Duration::from_secs(10);
/// Fewest runs from which rates are told.
const MIN_RUNS: f64 = 10.0;
/// Most services that are told of.
const MAX_SERVICES: usize = 4;

/// Counts runs and calls, and tells how many calls a run makes.
///
/// Which run makes a call is not known. The mean over all of them is enough for a budget.
#[derive(Debug)]
pub struct CallRates {
    runs: f64,
    calls: FastMap<ServiceId, f64>,
    halve_at: Deadline,
}

impl CallRates {
    /// Creates counts of zero.
    #[must_use]
    pub fn open(now: MonoTime) -> Self {
        Self {
            runs: 0.0,
            calls: FastMap::default(),
            halve_at: now.after(HALF_LIFE),
        }
    }

    /// Counts a request that an instance has served.
    pub fn record_run(&mut self, now: MonoTime) {
        self.halve(now);
        self.runs += 1.0;
    }

    /// Counts a call of an instance to `service`.
    pub fn record_call(&mut self, service: &ServiceId, now: MonoTime) {
        self.halve(now);
        *self.calls.entry(service.clone()).or_default() += 1.0;
    }

    /// The services that runs call most, with the calls a run; none from too few runs.
    #[must_use]
    pub fn rates(&self) -> Option<Vec<CallRate>> {
        if self.runs < MIN_RUNS {
            return None;
        }
        let rates = self.calls.iter().map(|(service, calls)| CallRate {
            service: service.clone(),
            calls_per_thousand: (calls / self.runs * 1_000.0).round() as u16,
        });
        let mut rates: Vec<_> = rates.filter(|rate| rate.calls_per_thousand > 0).collect();
        rates.sort_unstable_by(|left, right| {
            let order = right.calls_per_thousand.cmp(&left.calls_per_thousand);
            order.then_with(|| left.service.cmp(&right.service))
        });
        rates.truncate(MAX_SERVICES);
        Some(rates)
    }

    fn halve(&mut self, now: MonoTime) {
        if !self.halve_at.has_passed(now) {
            return;
        }
        self.halve_at = now.after(HALF_LIFE);
        self.runs /= 2.0;
        self.calls.retain(|_, calls| {
            *calls /= 2.0;
            *calls >= 0.5
        });
    }
}
