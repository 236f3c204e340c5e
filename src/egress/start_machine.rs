//! The egress's half of the two-step start, as a pure state machine.
//!
//! `spec/start.pml` checks the same steps under the same names.

use crate::time::{Deadline, MonoTime};
use crate::wire::RefusalReason;

/// How far a request has come at the egress.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartState {
    /// It waits for a slot.
    Waiting,
    /// It holds a slot and waits for go until the deadline.
    Held(Deadline),
    /// It was sent to the instance.
    Running,
    /// It was given up before it was sent; it can never run.
    Refused,
}

/// What happened.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartEvent {
    /// The queue granted a slot.
    SlotGranted,
    /// The queue refused the request.
    QueueRefused,
    /// The ingress said go.
    Go,
    /// The stream to the ingress broke or was cancelled.
    StreamLost,
    /// Time passed.
    Tick,
}

/// What the task must do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartAction {
    /// Nothing.
    Wait,
    /// Tell the ingress that a slot is held.
    SendReady,
    /// Send the request to the instance, now.
    Run,
    /// Free the slot or place in the queue, and say that the request was not run.
    Refuse(RefusalReason),
    /// Free the slot or place in the queue; there is nobody to tell.
    Abandon,
}

/// Decides when a request may be sent to its instance: at most once, and never after a refusal.
#[derive(Debug)]
pub struct StartMachine {
    state: StartState,
    needs_go: bool,
    hold: std::time::Duration,
    deadline: Deadline,
}

impl StartMachine {
    /// A request that waits for a slot; one that `needs_go` holds its slot for `hold` at most.
    #[must_use]
    pub const fn open(needs_go: bool, hold: std::time::Duration, deadline: Deadline) -> Self {
        Self {
            state: StartState::Waiting,
            needs_go,
            hold,
            deadline,
        }
    }

    /// How far the request has come.
    #[must_use]
    pub const fn state(&self) -> StartState {
        self.state
    }

    /// When `Tick` is due next.
    #[must_use]
    pub fn wake_at(&self) -> Deadline {
        match self.state {
            StartState::Held(hold) => hold.min(self.deadline),
            StartState::Waiting | StartState::Running | StartState::Refused => self.deadline,
        }
    }

    /// Takes an event at `now`.
    pub fn take(&mut self, event: StartEvent, now: MonoTime) -> StartAction {
        match (self.state, event) {
            (StartState::Running | StartState::Refused, _) => StartAction::Wait,
            (_, StartEvent::StreamLost) => self.abandon(),
            (_, _) if self.deadline.has_passed(now) => self.refuse(RefusalReason::DeadlinePassed),
            (_, StartEvent::QueueRefused) => self.refuse(RefusalReason::Overloaded),
            (StartState::Waiting, StartEvent::SlotGranted) => self.granted(now),
            (StartState::Waiting, StartEvent::Go | StartEvent::Tick) => StartAction::Wait,
            // Checked against the clock even when go has come: the task may have been paused.
            (StartState::Held(hold), _) if hold.has_passed(now) => {
                self.refuse(RefusalReason::HoldExpired)
            }
            (StartState::Held(_), StartEvent::Go) => self.run(),
            (StartState::Held(_), StartEvent::SlotGranted | StartEvent::Tick) => StartAction::Wait,
        }
    }

    fn granted(&mut self, now: MonoTime) -> StartAction {
        if !self.needs_go {
            return self.run();
        }
        self.state = StartState::Held(now.after(self.hold));
        StartAction::SendReady
    }

    const fn run(&mut self) -> StartAction {
        self.state = StartState::Running;
        StartAction::Run
    }

    const fn refuse(&mut self, reason: RefusalReason) -> StartAction {
        self.state = StartState::Refused;
        StartAction::Refuse(reason)
    }

    const fn abandon(&mut self) -> StartAction {
        self.state = StartState::Refused;
        StartAction::Abandon
    }
}
