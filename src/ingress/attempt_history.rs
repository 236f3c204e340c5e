//! The attempts made for one request: which instances were tried, whether another attempt is
//! allowed, and what the attempts together prove about the execution. Does no I/O.

use std::time::Duration;

use crate::execution_verdict::ExecutionVerdict;
use crate::ids::InstanceId;
use crate::ingress::{RequestRefusal, ResponseLoss};
use crate::wire::RefusalReason;

/// Most instances that one request may reach when its route sets no bound.
pub const DEFAULT_MAX_ATTEMPTS: usize = 4;
/// Most offers of one request, including those that an egress refused. Bounds the work that one
/// caller's request can cause.
pub const MAX_OFFERS: usize = 12;
/// Instances found busy before the next offer may wait in an instance's queue.
pub const DEFAULT_NO_WAIT_OFFERS: usize = 2;
/// Shortest `Retry-After` when every slot is taken. The expected wait can be shorter, but other
/// requests take the next free slots.
const MIN_BUSY_RETRY_AFTER: Duration = Duration::from_millis(50);
/// `Retry-After` for a service that has no instance to try.
const NO_INSTANCE_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Why an attempt returned no response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AttemptFailure {
    /// What the attempt proves about the request's execution.
    pub verdict: ExecutionVerdict,
    /// Why the egress refused the offer; none when it did not refuse.
    pub reason: Option<RefusalReason>,
    /// Why there is no response; none when the egress refused the offer or was not reached.
    pub cause: Option<ResponseLoss>,
    /// How long the caller should wait before it retries; zero when unknown.
    pub retry_after: Duration,
}

impl AttemptFailure {
    /// Returns whether the attempt provably sent nothing to an instance.
    #[must_use]
    pub fn is_unreached(&self) -> bool {
        self.verdict == ExecutionVerdict::NotRun && self.reason.is_none_or(RefusalReason::is_unsent)
    }
}

/// Records the attempts at one request and decides whether another may follow.
///
/// Once an attempt may have run, every later refusal says so, whatever the later attempts prove.
#[derive(Debug)]
pub struct AttemptHistory {
    /// Most instances that the request may reach.
    max_attempts: usize,
    /// Instances found busy before an offer may wait in a queue.
    no_wait_offers: usize,
    /// Attempts in `tried` that provably sent nothing to an instance.
    unreached: usize,
    tried: Vec<InstanceId>,
    /// Instances in `tried` that refused because every slot was taken, or because another request had to
    /// end first.
    busy: Vec<InstanceId>,
    /// Whether the busy instances were made eligible again.
    is_busy_retried: bool,
    may_have_run: bool,
    /// Why the last response that is missing is lost.
    loss: Option<ResponseLoss>,
    /// The last failure; none before the first.
    last: Option<AttemptFailure>,
}

impl Default for AttemptHistory {
    fn default() -> Self {
        Self::open(DEFAULT_MAX_ATTEMPTS)
    }
}

impl AttemptHistory {
    /// Creates a history without attempts that allows the request to reach `max_attempts` instances.
    #[must_use]
    pub const fn open(max_attempts: usize) -> Self {
        Self {
            max_attempts,
            no_wait_offers: DEFAULT_NO_WAIT_OFFERS,
            unreached: 0,
            tried: Vec::new(),
            busy: Vec::new(),
            is_busy_retried: false,
            may_have_run: false,
            loss: None,
            last: None,
        }
    }

    /// Sets how many instances must be found busy before an offer may wait in a queue.
    #[must_use]
    pub fn with_no_wait_offers(self, no_wait_offers: usize) -> Self {
        Self {
            no_wait_offers,
            ..self
        }
    }

    /// Returns the instances tried so far, in order.
    #[must_use]
    pub fn tried(&self) -> &[InstanceId] {
        &self.tried
    }

    /// Returns whether no attempt may follow the current one.
    ///
    /// Attempts that reached no instance count only towards `MAX_OFFERS`.
    #[must_use]
    pub fn is_last(&self) -> bool {
        self.reached() >= self.max_attempts || self.tried.len() >= MAX_OFFERS
    }

    /// Returns how many attempts may have reached their instance.
    #[must_use]
    pub fn reached(&self) -> usize {
        self.tried.len().saturating_sub(self.unreached)
    }

    /// Returns whether the next offer may wait in an instance's queue.
    #[must_use]
    pub const fn may_wait(&self) -> bool {
        self.is_busy_retried || self.busy.len() >= self.no_wait_offers
    }

    /// Returns whether the last attempt failed only because every slot of its instance was taken.
    #[must_use]
    pub fn last_was_busy(&self) -> bool {
        self.last
            .is_some_and(|failure| failure.reason == Some(RefusalReason::Busy))
    }

    /// Returns whether `instance` was tried and may not be offered the request again.
    #[must_use]
    pub fn is_excluded(&self, instance: &InstanceId) -> bool {
        self.tried.contains(instance) && !self.busy.contains(instance)
    }

    /// Returns whether any tried instance was refused only because every slot was taken.
    #[must_use]
    pub fn has_busy(&self) -> bool {
        !self.busy.is_empty()
    }

    /// Makes the busy instances eligible again, with offers that may wait in their queues.
    ///
    /// Called when no untried instance is left. Returns false when no instance was busy.
    pub fn retry_busy(&mut self) -> bool {
        let busy = std::mem::take(&mut self.busy);
        self.tried.retain(|instance| !busy.contains(instance));
        self.is_busy_retried = true;
        self.unreached = self.unreached.saturating_sub(busy.len());
        !busy.is_empty()
    }

    /// Makes a busy instance eligible again.
    pub fn retry_instance(&mut self, instance: &InstanceId) {
        if let Some(position) = self.busy.iter().position(|busy| busy == instance) {
            self.busy.swap_remove(position);
            self.tried.retain(|tried| tried != instance);
            self.unreached = self.unreached.saturating_sub(1);
        }
    }

    /// Records the start of an attempt at `instance`.
    pub fn record_attempt(&mut self, instance: InstanceId) {
        self.tried.push(instance);
    }

    /// Records a response that is held back while the request is retried.
    pub const fn record_response(&mut self) {
        self.may_have_run = true;
    }

    /// Records that the attempt at `instance` returned no response.
    pub fn record_failure(&mut self, instance: &InstanceId, failure: AttemptFailure) {
        if matches!(
            failure.reason,
            Some(RefusalReason::Busy | RefusalReason::SuspectRunning)
        ) {
            self.busy.push(instance.clone());
        }
        if failure.is_unreached() {
            self.unreached += 1;
        }
        self.may_have_run |= !matches!(failure.verdict, ExecutionVerdict::NotRun);
        self.loss = failure.cause.or(self.loss);
        self.last = Some(failure);
    }

    /// Returns whether the request may be sent again after an attempt with `verdict`.
    #[must_use]
    pub fn allows_retry(&self, verdict: ExecutionVerdict, idempotent: bool) -> bool {
        !self.is_last() && verdict.allows_retry(idempotent)
    }

    /// Returns the refusal for the caller once no further attempt follows.
    #[must_use]
    pub fn refusal(&self, deadline_passed: bool) -> RequestRefusal {
        if self.may_have_run {
            return RequestRefusal::ResponseLost(self.loss);
        }
        match self.last {
            Some(_) if deadline_passed => RequestRefusal::DeadlinePassed,
            Some(failure) if failure.reason == Some(RefusalReason::Busy) => {
                let retry_after = failure.retry_after.max(MIN_BUSY_RETRY_AFTER);
                RequestRefusal::NoCapacity(failure.reason, retry_after)
            }
            Some(failure) => RequestRefusal::NoCapacity(failure.reason, failure.retry_after),
            None => RequestRefusal::NoCapacity(None, NO_INSTANCE_RETRY_AFTER),
        }
    }
}
