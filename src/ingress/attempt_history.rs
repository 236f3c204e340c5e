//! What all attempts at one request prove together, as a pure state machine.

use std::time::Duration;

use crate::ids::InstanceId;
use crate::ingress::RequestRefusal;
use crate::verdict::Verdict;
use crate::wire::{FailureCause, RefusalReason};

/// Instances that one request may reach where its route says nothing.
pub const DEFAULT_MAX_ATTEMPTS: usize = 4;
/// Offers of one request, those included that an egress refused: bounds the work for one caller.
pub const MAX_OFFERS: usize = 12;
/// Instances asked for a free slot before the request waits in the queue of one.
pub const DEFAULT_NO_WAIT_OFFERS: usize = 2;
/// When to come back to a service without instances.
const NO_INSTANCE_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Why an attempt brought no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AttemptFailure {
    /// What the attempt proves.
    pub verdict: Verdict,
    /// Why the egress refused, if it did.
    pub reason: Option<RefusalReason>,
    /// What went wrong after the start, as the egress tells.
    pub cause: Option<FailureCause>,
    /// When to come back.
    pub retry_after: Duration,
}

impl AttemptFailure {
    /// Whether the attempt provably reached no instance.
    #[must_use]
    pub fn is_unreached(&self) -> bool {
        self.verdict == Verdict::NotRun && self.reason.is_none_or(RefusalReason::is_unreached)
    }
}

/// Collects the attempts; one that may have run is never forgotten.
#[derive(Debug)]
pub struct AttemptHistory {
    max_attempts: usize,
    no_wait_offers: usize,
    /// Attempts that provably reached no instance.
    unreached: usize,
    tried: Vec<InstanceId>,
    busy: Vec<InstanceId>,
    must_wait: bool,
    may_have_run: bool,
    last: Option<AttemptFailure>,
}

impl Default for AttemptHistory {
    fn default() -> Self {
        Self::open(DEFAULT_MAX_ATTEMPTS)
    }
}

impl AttemptHistory {
    /// No attempt yet; `max_attempts` instances may be reached.
    #[must_use]
    pub const fn open(max_attempts: usize) -> Self {
        Self {
            max_attempts,
            no_wait_offers: DEFAULT_NO_WAIT_OFFERS,
            unreached: 0,
            tried: Vec::new(),
            busy: Vec::new(),
            must_wait: false,
            may_have_run: false,
            last: None,
        }
    }

    /// The same, with `no_wait_offers` instances asked for a free slot first.
    #[must_use]
    pub fn with_no_wait_offers(self, no_wait_offers: usize) -> Self {
        Self {
            no_wait_offers,
            ..self
        }
    }

    /// The instances tried so far.
    #[must_use]
    pub fn tried(&self) -> &[InstanceId] {
        &self.tried
    }

    /// Whether this is the last attempt allowed; one that its egress refused is none.
    #[must_use]
    pub fn is_last(&self) -> bool {
        self.tried.len().saturating_sub(self.unreached) >= self.max_attempts
            || self.tried.len() >= MAX_OFFERS
    }

    /// Whether the next attempt may wait in a queue.
    #[must_use]
    pub const fn may_wait(&self) -> bool {
        self.must_wait || self.busy.len() >= self.no_wait_offers
    }

    /// Whether the last attempt only found its instance busy.
    #[must_use]
    pub fn last_was_busy(&self) -> bool {
        self.last
            .is_some_and(|failure| failure.reason == Some(RefusalReason::Busy))
    }

    /// Whether some instance was only found busy.
    #[must_use]
    pub fn has_busy(&self) -> bool {
        !self.busy.is_empty()
    }

    /// Nothing else is left to try: whether busy instances may be asked again, now to wait.
    pub fn retry_busy(&mut self) -> bool {
        let busy = std::mem::take(&mut self.busy);
        self.tried.retain(|instance| !busy.contains(instance));
        self.must_wait = true;
        self.unreached = self.unreached.saturating_sub(busy.len());
        !busy.is_empty()
    }

    /// An attempt at `instance` begins.
    pub fn record_attempt(&mut self, instance: InstanceId) {
        self.tried.push(instance);
    }

    /// The attempt brought an answer that is held back for a retry.
    pub const fn record_response(&mut self) {
        self.may_have_run = true;
    }

    /// The attempt brought no answer.
    pub fn record_failure(&mut self, failure: AttemptFailure) {
        if failure.reason == Some(RefusalReason::Busy) {
            self.busy.extend(self.tried.last().cloned());
        }
        if failure.is_unreached() {
            self.unreached += 1;
        }
        self.may_have_run |= !matches!(failure.verdict, Verdict::NotRun);
        self.last = Some(failure);
    }

    /// Whether the request may be sent again after an attempt with `verdict`.
    #[must_use]
    pub fn allows_retry(&self, verdict: Verdict, idempotent: bool) -> bool {
        !self.is_last() && verdict.allows_retry(idempotent)
    }

    /// The refusal once no further attempt follows.
    #[must_use]
    pub fn refusal(&self, deadline_passed: bool) -> RequestRefusal {
        if self.may_have_run {
            return RequestRefusal::ResponseLost(self.last.and_then(|failure| failure.cause));
        }
        match self.last {
            Some(_) if deadline_passed => RequestRefusal::DeadlinePassed,
            Some(failure) => RequestRefusal::NoCapacity(failure.reason, failure.retry_after),
            None => RequestRefusal::NoCapacity(None, NO_INSTANCE_RETRY_AFTER),
        }
    }
}
