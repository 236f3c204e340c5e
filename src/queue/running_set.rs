//! Set of the requests that hold the slots of one instance.

use std::time::Duration;

use crate::hash::FastMap;
use crate::queue::RequestKey;
use crate::queue::running_request::RunningRequest;
use crate::time::MonoTime;

/// Running requests by key.
#[derive(Debug, Default)]
pub(super) struct RunningSet {
    requests: FastMap<RequestKey, RunningRequest>,
}

impl RunningSet {
    /// Number of running requests.
    pub(super) fn len(&self) -> usize {
        self.requests.len()
    }

    /// Whether the request is running.
    pub(super) fn contains(&self, key: RequestKey) -> bool {
        self.requests.contains_key(&key)
    }

    /// How long the request has held its slot; none when it is not running.
    pub(super) fn age(&self, key: RequestKey, now: MonoTime) -> Option<Duration> {
        self.requests.get(&key).map(|request| request.age(now))
    }

    /// Adds a request that has started.
    pub(super) fn insert(&mut self, key: RequestKey, request: RunningRequest) {
        self.requests.insert(key, request);
    }

    /// Removes a request that has ended; none when it was not running.
    pub(super) fn remove(&mut self, key: RequestKey) -> Option<RunningRequest> {
        self.requests.remove(&key)
    }

    /// Expected time until the first running request ends, in seconds; infinite when none runs.
    pub(super) fn first_end_secs(&self, now: MonoTime) -> f64 {
        let residuals = self.requests.values();
        residuals
            .map(|request| request.residual_secs(now))
            .fold(f64::INFINITY, f64::min)
    }

    /// Highest age among the running requests, each multiplied by its `scale`; none when nothing
    /// runs.
    pub(super) fn max_scaled_age(
        &self,
        now: MonoTime,
        scale: impl Fn(RequestKey, &RunningRequest) -> f64,
    ) -> Option<Duration> {
        let requests = self.requests.iter();
        let ages = requests.map(|(key, request)| request.age(now).mul_f64(scale(*key, request)));
        ages.max()
    }
}
