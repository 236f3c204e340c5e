//! The requests that an instance is running, by their digests.

use std::time::Duration;

use crate::hash::FastMap;
use crate::queue::RequestKey;
use crate::time::MonoTime;
use crate::wire::RequestDigest;

/// The digests of the requests that were sent to an instance and have not ended.
#[derive(Debug, Default)]
pub struct RunningDigests {
    sent: FastMap<RequestKey, (RequestDigest, MonoTime)>,
}

impl RunningDigests {
    /// Records that a request was sent to the instance.
    pub fn start(&mut self, key: RequestKey, digest: RequestDigest, now: MonoTime) {
        self.sent.insert(key, (digest, now));
    }

    /// Records that a request has ended.
    pub fn finish(&mut self, key: RequestKey) {
        self.sent.remove(&key);
    }

    /// Whether another request than `key` that is running satisfies `is_match`.
    #[must_use]
    pub fn any_other(&self, key: RequestKey, is_match: impl Fn(RequestDigest) -> bool) -> bool {
        let mut others = self.sent.iter().filter(|(other, _)| **other != key);
        others.any(|(_, (digest, _))| is_match(*digest))
    }

    /// Removes and returns all requests, with how long they have run, when the instance has ended. The
    /// tasks that lose their connections together thus find them once.
    pub fn take(&mut self, now: MonoTime) -> Vec<(RequestDigest, Duration)> {
        let mut running: Vec<_> = self
            .sent
            .drain()
            .map(|(_, (digest, sent))| (digest, now.since(sent)))
            .collect();
        running.sort_unstable();
        running
    }
}
