//! Egress side of the two-step request start, as a pure state machine.
//!
//! A request that is not idempotent starts in two steps. The egress reserves a slot and reports
//! `Ready`; the request is sent to the instance only after the ingress has confirmed with `Go`.
//! The model in `spec/start.pml` checks the same steps under the same names.

use crate::time::{Deadline, MonoTime};
use crate::wire::RefusalReason;

/// Progress of a request at the egress.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartState {
    /// Waits for a slot.
    Waiting,
    /// Holds a slot and waits for `Go` until this deadline.
    Held(Deadline),
    /// Was sent to the instance.
    Running,
    /// Was refused or abandoned before it was sent, and can never run.
    Refused,
}

/// Input of the state machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartEvent {
    /// The queue granted a slot.
    SlotGranted,
    /// The queue refused the request.
    QueueRefused,
    /// The ingress confirmed that the request may run, and its body is complete.
    Go,
    /// A part of a long body arrived.
    BodyProgress,
    /// The daemon shuts down, or the instance leaves, and no further request starts.
    EgressStopped,
    /// The stream to the ingress broke or was cancelled.
    StreamLost,
    /// The time returned by [`StartMachine::wake_at`] has come, or may have.
    Tick,
}

/// What the caller must do after an event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartAction {
    /// Wait for the next event.
    Wait,
    /// Tell the ingress that a slot is held.
    SendReady,
    /// Send the request to the instance now.
    Run,
    /// Free the slot or queue place, and tell the ingress that the request did not run.
    Refuse(RefusalReason),
    /// Free the slot or queue place. The stream to the ingress is lost, so nothing is sent.
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
    /// Creates the machine of a request that waits for a slot.
    ///
    /// With `needs_go`, the request holds its slot for at most `hold` until `Go` or the next part
    /// of its body arrives; without, it runs as soon as it has a slot.
    #[must_use]
    pub const fn open(needs_go: bool, hold: std::time::Duration, deadline: Deadline) -> Self {
        Self {
            state: StartState::Waiting,
            needs_go,
            hold,
            deadline,
        }
    }

    /// The present state.
    #[must_use]
    pub const fn state(&self) -> StartState {
        self.state
    }

    /// When the next [`StartEvent::Tick`] is due.
    #[must_use]
    pub fn wake_at(&self) -> Deadline {
        match self.state {
            StartState::Held(hold) => hold.min(self.deadline),
            StartState::Waiting | StartState::Running | StartState::Refused => self.deadline,
        }
    }

    /// Applies an event that occurred at `now` and returns what to do.
    pub fn handle_event(&mut self, event: StartEvent, now: MonoTime) -> StartAction {
        match (self.state, event) {
            (StartState::Running | StartState::Refused, _) => StartAction::Wait,
            (_, StartEvent::StreamLost) => self.abandon(),
            (_, _) if self.deadline.has_passed(now) => self.refuse(RefusalReason::DeadlinePassed),
            (_, StartEvent::QueueRefused) => self.refuse(RefusalReason::Overloaded),
            (_, StartEvent::EgressStopped) => self.refuse(RefusalReason::NotReady),
            (StartState::Waiting, StartEvent::SlotGranted) => self.grant_slot(now),
            (StartState::Waiting, StartEvent::Go | StartEvent::BodyProgress | StartEvent::Tick) => {
                StartAction::Wait
            }
            // The clock decides even when `Go` has arrived: the task may have been paused.
            (StartState::Held(hold), _) if hold.has_passed(now) => {
                self.refuse(RefusalReason::HoldExpired)
            }
            (StartState::Held(_), StartEvent::Go) => self.run(),
            (StartState::Held(_), StartEvent::BodyProgress) => {
                self.state = StartState::Held(now.after(self.hold));
                StartAction::Wait
            }
            (StartState::Held(_), StartEvent::SlotGranted | StartEvent::Tick) => StartAction::Wait,
        }
    }

    fn grant_slot(&mut self, now: MonoTime) -> StartAction {
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
