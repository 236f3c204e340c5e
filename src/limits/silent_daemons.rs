//! Daemons that do not answer token requests, as one ingress sees them.

use std::time::Duration;

use crate::hash::FastMap;
use crate::ids::DaemonId;
use crate::limits::HomeState;
use crate::time::MonoTime;

/// How long a daemon that did not answer is replaced: gossip takes seconds to detect its loss, and
/// each failed request blocks its half of the shares until the timeout.
const FIRST_BACKOFF: Duration = Duration::from_secs(1);
/// How long after it has failed again, if its replacement has loans: the replacement loses them once
/// the daemon returns.
const REPEATED_BACKOFF: Duration = Duration::from_secs(3);
/// A daemon that fails within this time of its last failure has failed again.
const MEMORY: Duration = Duration::from_secs(6);

/// The daemons whose last request failed.
#[derive(Debug, Default)]
pub struct SilentDaemons {
    failures: FastMap<DaemonId, FailedCall>,
}

#[derive(Debug, Clone, Copy)]
struct FailedCall {
    at: MonoTime,
    is_repeated: bool,
}

impl SilentDaemons {
    /// Records a failed request.
    pub fn record_failure(&mut self, daemon: DaemonId, now: MonoTime) {
        let is_repeated = self.failures.contains_key(&daemon);
        let failure = FailedCall {
            at: now,
            is_repeated,
        };
        self.failures.insert(daemon, failure);
    }

    /// Records an answer.
    pub fn record_answer(&mut self, daemon: &DaemonId) {
        self.failures.remove(daemon);
    }

    /// Whether another daemon is to be called instead of `daemon` for the half with the state `home`.
    #[must_use]
    pub fn is_silent(&self, daemon: &DaemonId, home: &HomeState, now: MonoTime) -> bool {
        let Some(failure) = self.failures.get(daemon) else {
            return false;
        };
        let backoff = match failure.is_repeated && home.is_served_by_backup() {
            true => REPEATED_BACKOFF,
            false => FIRST_BACKOFF,
        };
        let has_returned = home.returned_at().is_some_and(|at| at >= failure.at);
        !has_returned && now.since(failure.at) < backoff
    }

    /// Forgets failures that are long past.
    pub fn expire(&mut self, now: MonoTime) {
        self.failures
            .retain(|_, failure| now.since(failure.at) < MEMORY);
    }
}
