//! The requests that hold the slots of one instance.

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
    /// Requests that run.
    pub(super) fn len(&self) -> usize {
        self.requests.len()
    }

    /// Whether the request runs.
    pub(super) fn contains(&self, key: RequestKey) -> bool {
        self.requests.contains_key(&key)
    }

    /// A request has started.
    pub(super) fn insert(&mut self, key: RequestKey, request: RunningRequest) {
        self.requests.insert(key, request);
    }

    /// A request has ended.
    pub(super) fn remove(&mut self, key: RequestKey) -> Option<RunningRequest> {
        self.requests.remove(&key)
    }

    /// Expected time until the first of them ends.
    pub(super) fn first_end_secs(&self, now: MonoTime) -> f64 {
        let residuals = self.requests.values();
        residuals
            .map(|request| request.residual_secs(now))
            .fold(f64::INFINITY, f64::min)
    }

    /// The highest age, each scaled by `scale` of its request.
    pub(super) fn oldest(
        &self,
        now: MonoTime,
        scale: impl Fn(&RunningRequest) -> f64,
    ) -> Option<Duration> {
        let requests = self.requests.values();
        let ages = requests.map(|request| request.age(now).mul_f64(scale(request)));
        ages.max()
    }
}
