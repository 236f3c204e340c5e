//! State machine of one attempt at the ingress, which does no I/O.
//!
//! A request that is not idempotent starts in two steps: the ingress offers it, the egress holds a
//! slot and answers ready, and only then the ingress sends go. `spec/start.pml` model-checks this
//! protocol with the same names of states and events.

use crate::execution_verdict::ExecutionVerdict;

/// Progress of one attempt at the ingress.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptState {
    /// The offer has not been sent.
    Unsent,
    /// The offer may have arrived.
    Offered,
    /// Go may have arrived.
    GoSent,
    /// The attempt is over, with what it proves about the execution.
    Ended(ExecutionVerdict),
}

/// An event that the state machine handles.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptEvent {
    /// The offer is sent. Handled before the actual send, so that the state is never behind the peer.
    OfferSent,
    /// The egress holds a slot.
    Ready,
    /// The egress refused the offer, or the peer refused the stream: provably not run.
    Refused,
    /// The egress reported that there is no complete response.
    Failed(ExecutionVerdict),
    /// The complete response was received, or as much as is buffered before it is streamed.
    Answered,
    /// The stream failed or stayed silent, or the deadline passed.
    Lost,
}

/// What the caller of the state machine must do next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptAction {
    /// Wait for the next event.
    Wait,
    /// Send go; the state already counts it as sent.
    SendGo,
    /// End the attempt with this verdict.
    End(ExecutionVerdict),
}

/// Tracks what one attempt proves about the request's execution.
#[derive(Debug)]
pub struct AttemptMachine {
    state: AttemptState,
    /// Whether the request starts only after go.
    needs_go: bool,
}

impl AttemptMachine {
    /// Creates an attempt whose offer has not been sent. With `needs_go` the egress runs the
    /// request only after go.
    #[must_use]
    pub const fn open(needs_go: bool) -> Self {
        Self {
            state: AttemptState::Unsent,
            needs_go,
        }
    }

    /// Returns the progress of the attempt.
    #[must_use]
    pub const fn state(&self) -> AttemptState {
        self.state
    }

    /// Updates the state and returns what to do next.
    pub fn handle_event(&mut self, event: AttemptEvent) -> AttemptAction {
        match (self.state, event) {
            (AttemptState::Ended(_), _) => AttemptAction::Wait,
            (AttemptState::Unsent, AttemptEvent::OfferSent) => self.advance(AttemptState::Offered),
            (AttemptState::Offered, AttemptEvent::Ready) if self.needs_go => self.send_go(),
            (_, AttemptEvent::Ready | AttemptEvent::OfferSent) => AttemptAction::Wait,
            (_, AttemptEvent::Refused) => self.end(ExecutionVerdict::NotRun),
            (_, AttemptEvent::Failed(verdict)) => self.end(verdict),
            (_, AttemptEvent::Answered) => self.end(ExecutionVerdict::Ran),
            (state, AttemptEvent::Lost) => self.end(self.verdict_after_loss(state)),
        }
    }

    /// Returns what a lost stream proves: nothing, except that a request that needs go cannot have
    /// run before go was sent.
    const fn verdict_after_loss(&self, state: AttemptState) -> ExecutionVerdict {
        match state {
            AttemptState::Unsent => ExecutionVerdict::NotRun,
            AttemptState::Offered if self.needs_go => ExecutionVerdict::NotRun,
            AttemptState::Offered | AttemptState::GoSent => ExecutionVerdict::MayHaveRun,
            AttemptState::Ended(verdict) => verdict,
        }
    }

    const fn send_go(&mut self) -> AttemptAction {
        self.state = AttemptState::GoSent;
        AttemptAction::SendGo
    }

    const fn advance(&mut self, state: AttemptState) -> AttemptAction {
        self.state = state;
        AttemptAction::Wait
    }

    const fn end(&mut self, verdict: ExecutionVerdict) -> AttemptAction {
        self.state = AttemptState::Ended(verdict);
        AttemptAction::End(verdict)
    }
}
