//! The attempts of one request that wait for their outcome.

use std::pin::pin;

use futures_util::StreamExt;
use futures_util::future::{Either, LocalBoxFuture, select};
use futures_util::stream::FuturesUnordered;

use crate::ingress::attempt_task::AttemptOutcome;
use crate::ingress::instance_choice::ChosenInstance;
use crate::time::{Deadline, MonoTime, ProcessClock};

/// An attempt with its outcome.
pub(crate) struct EndedAttempt {
    pub(crate) chosen: ChosenInstance,
    /// When the attempt began.
    pub(crate) begin: MonoTime,
    pub(crate) outcome: AttemptOutcome,
}

/// What the running attempts are waited for.
pub(crate) enum AttemptStep {
    /// An attempt has its outcome.
    Ended(Box<EndedAttempt>),
    /// No attempt has ended for longer than is usual.
    Overdue,
}

/// The running attempts; dropping them cancels the requests at their egresses.
pub(crate) struct RunningAttempts<'a> {
    clock: ProcessClock,
    attempts: FuturesUnordered<LocalBoxFuture<'a, EndedAttempt>>,
    overdue_at: Deadline,
}

impl<'a> RunningAttempts<'a> {
    /// Creates an empty set.
    pub(crate) fn open(clock: ProcessClock) -> Self {
        Self {
            clock,
            attempts: FuturesUnordered::new(),
            overdue_at: Deadline::at(MonoTime::ZERO),
        }
    }

    /// Adds an attempt, after which the running ones count as overdue at `overdue_at`.
    pub(crate) fn start(
        &mut self,
        attempt: impl Future<Output = EndedAttempt> + 'a,
        overdue_at: Deadline,
    ) {
        self.attempts.push(Box::pin(attempt));
        self.overdue_at = overdue_at;
    }

    /// Sets when the running attempts count as overdue again.
    pub(crate) const fn postpone(&mut self, overdue_at: Deadline) {
        self.overdue_at = overdue_at;
    }

    /// Number of attempts without an outcome.
    pub(crate) fn count(&self) -> usize {
        self.attempts.len()
    }

    /// Waits for the next outcome, or until the attempts are overdue; none if no attempt is running.
    pub(crate) async fn next_step(&mut self) -> Option<AttemptStep> {
        let span = self.overdue_at.remaining(self.clock.now());
        let overdue = pin!(actix_rt::time::sleep(span));
        match select(self.attempts.next(), overdue).await {
            Either::Left((ended, _)) => Some(AttemptStep::Ended(Box::new(ended?))),
            Either::Right(_) => Some(AttemptStep::Overdue),
        }
    }
}
