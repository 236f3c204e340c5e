//! Signal that the ingress shuts down, with the time by which its requests must be answered.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;

use crate::resource::RequestClass;
use crate::time::{Deadline, MonoTime, ProcessClock};

/// Time between the last answers and the end of the shutdown, in which they are written.
const WRITE_RESERVE: Duration = Duration::from_millis(150);

/// Set once when the shutdown begins; clones share it.
#[derive(Debug, Clone, Default)]
pub(crate) struct ShutdownSignal {
    state: Rc<SignalState>,
}

#[derive(Debug, Default)]
struct SignalState {
    limits: Cell<Option<ShutdownLimits>>,
    begun: Notify,
}

/// Deadlines of a shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ShutdownLimits {
    /// New requests are refused from then on, since they may not end in time. Calls that end in time
    /// are accepted.
    pub accept_until: Deadline,
    /// Every request has its answer by then.
    pub answer_by: Deadline,
}

/// How long the requests of a route take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WorkTimes {
    /// What they usually take.
    pub usual: Duration,
    /// What most do not exceed.
    pub most: Duration,
}

/// What decides whether a request is accepted during a shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestArrival {
    /// When the request arrived.
    pub at: MonoTime,
    /// Whether its connection was accepted after the instances had begun to drain.
    pub is_late: bool,
    /// The class of its route.
    pub class: RequestClass,
    /// Its own deadline.
    pub deadline: Deadline,
}

impl ShutdownLimits {
    /// Divides the time from `now` to `end`: requests are accepted in the first half.
    #[must_use]
    pub fn between(now: MonoTime, end: Deadline) -> Self {
        let span = end.remaining(now);
        Self {
            accept_until: now.after(span / 2),
            answer_by: now.after(span.saturating_sub(WRITE_RESERVE)),
        }
    }

    /// Whether only calls may be accepted of the requests that arrive at `at`. `is_late` as in
    /// [`RequestArrival`]: late connections are accepted for calls alone, and other callers on them are
    /// to use another daemon.
    #[must_use]
    pub fn serves_only_calls(&self, at: MonoTime, is_late: bool) -> bool {
        is_late || self.accept_until.has_passed(at)
    }

    /// Whether a request is accepted. Without its calls, a running request would fail.
    #[must_use]
    pub fn accepts(&self, arrival: &RequestArrival) -> bool {
        if arrival.class != RequestClass::InternalCheck {
            return !self.serves_only_calls(arrival.at, arrival.is_late);
        }
        !self.accept_until.has_passed(arrival.at) || arrival.deadline < self.answer_by
    }

    /// Until when a request with this deadline may be sent to an instance, so that it ends in time; none
    /// if its deadline ends it before.
    ///
    /// A request that has been accepted may be sent much later: its body arrives in parts, it waits for a
    /// token or a slot, or is repeated. As long as new requests are accepted, it starts if it usually ends in
    /// time; later, when its caller has other daemons to turn to, if it most likely does. If `work_times` are
    /// unknown, it starts as long as new requests are accepted.
    #[must_use]
    pub fn last_start(
        &self,
        deadline: Deadline,
        work_times: Option<WorkTimes>,
    ) -> Option<Deadline> {
        if deadline < self.answer_by {
            return None;
        }
        let Some(times) = work_times else {
            return Some(self.accept_until);
        };
        let usual_start = self.answer_by.before(times.usual);
        let likely_start = self.answer_by.before(times.most);
        Some(likely_start.max(usual_start.min(self.accept_until)))
    }

    /// Whether the listener stays open at `now`, after the instances have begun to drain: while
    /// requests run beside the daemon, which may make calls. No call ends in time after `answer_by`.
    #[must_use]
    pub fn keeps_listening(&self, has_runs: bool, now: MonoTime) -> bool {
        has_runs && !self.answer_by.has_passed(now)
    }
}

impl ShutdownSignal {
    /// Begins the shutdown.
    pub(crate) fn begin(&self, limits: ShutdownLimits) {
        self.state.limits.set(Some(limits));
        self.state.begun.notify_waiters();
    }

    /// Whether the shutdown has begun.
    pub(crate) fn has_begun(&self) -> bool {
        self.state.limits.get().is_some()
    }

    /// Whether only calls may be accepted; see [`ShutdownLimits::serves_only_calls`].
    pub(crate) fn serves_only_calls(&self, at: MonoTime, is_late: bool) -> bool {
        let limits = self.state.limits.get();
        limits.is_some_and(|limits| limits.serves_only_calls(at, is_late))
    }

    /// Whether a request is accepted; see [`ShutdownLimits::accepts`].
    pub(crate) fn accepts(&self, arrival: &RequestArrival) -> bool {
        let limits = self.state.limits.get();
        limits.is_none_or(|limits| limits.accepts(arrival))
    }

    /// The deadlines of the shutdown; none before it begins.
    pub(crate) fn limits(&self) -> Option<ShutdownLimits> {
        self.state.limits.get()
    }

    /// Waits for the shutdown and then until `last_start`, after which the request may no longer be sent to an
    /// instance. Does not return if the shutdown sets no bound.
    pub(crate) async fn wait_last_start(
        &self,
        clock: ProcessClock,
        last_start: impl FnOnce() -> Option<Deadline>,
    ) {
        self.wait_begun().await;
        match last_start() {
            Some(last_start) => actix_rt::time::sleep(last_start.remaining(clock.now())).await,
            None => std::future::pending().await,
        }
    }

    /// Waits for the shutdown and then until requests without an answer are given up.
    pub(crate) async fn wait_answer_deadline(&self, clock: ProcessClock) {
        self.wait_begun().await;
        if let Some(limits) = self.state.limits.get() {
            actix_rt::time::sleep(limits.answer_by.remaining(clock.now())).await;
        }
    }

    async fn wait_begun(&self) {
        let begun = self.state.begun.notified();
        if !self.has_begun() {
            begun.await;
        }
    }
}
