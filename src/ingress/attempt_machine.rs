//! The ingress's half of the two-step start, as a pure state machine.
//!
//! `spec/start.pml` checks the same steps under the same names.

use crate::verdict::Verdict;

/// How far one attempt has come at the ingress.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptState {
    /// The offer has not left.
    Unsent,
    /// The offer may have arrived.
    Offered,
    /// Go may have arrived.
    GoSent,
    /// The attempt is over.
    Ended(Verdict),
}

/// What happened.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptEvent {
    /// The offer is about to leave.
    OfferLeaves,
    /// The egress holds a slot.
    Ready,
    /// The egress refused, or the stream was refused: provably not run.
    Refused,
    /// The egress says that there is no whole answer.
    Failed(Verdict),
    /// The whole answer has come, or its head where it is passed on as it comes.
    Answered,
    /// The stream broke, went silent, or the deadline passed.
    Lost,
}

/// What the task must do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptAction {
    /// Wait for the next event.
    Wait,
    /// Say go; the state already counts it as sent.
    SendGo,
    /// End the attempt with this verdict.
    End(Verdict),
}

/// Tracks what is provable about one attempt.
#[derive(Debug)]
pub struct AttemptMachine {
    state: AttemptState,
    needs_go: bool,
}

impl AttemptMachine {
    /// An attempt whose offer has not left; one that `needs_go` starts in two steps.
    #[must_use]
    pub const fn open(needs_go: bool) -> Self {
        Self {
            state: AttemptState::Unsent,
            needs_go,
        }
    }

    /// How far the attempt has come.
    #[must_use]
    pub const fn state(&self) -> AttemptState {
        self.state
    }

    /// Takes an event.
    pub fn handle_event(&mut self, event: AttemptEvent) -> AttemptAction {
        match (self.state, event) {
            (AttemptState::Ended(_), _) => AttemptAction::Wait,
            (AttemptState::Unsent, AttemptEvent::OfferLeaves) => {
                self.advance(AttemptState::Offered)
            }
            (AttemptState::Offered, AttemptEvent::Ready) if self.needs_go => self.go(),
            (_, AttemptEvent::Ready | AttemptEvent::OfferLeaves) => AttemptAction::Wait,
            (_, AttemptEvent::Refused) => self.end(Verdict::NotRun),
            (_, AttemptEvent::Failed(verdict)) => self.end(verdict),
            (_, AttemptEvent::Answered) => self.end(Verdict::Ran),
            (state, AttemptEvent::Lost) => self.end(self.verdict_of_silence(state)),
        }
    }

    /// Silence proves nothing, but a request that needs go cannot have run before go left.
    const fn verdict_of_silence(&self, state: AttemptState) -> Verdict {
        match state {
            AttemptState::Unsent => Verdict::NotRun,
            AttemptState::Offered if self.needs_go => Verdict::NotRun,
            AttemptState::Offered | AttemptState::GoSent => Verdict::MayHaveRun,
            AttemptState::Ended(verdict) => verdict,
        }
    }

    const fn go(&mut self) -> AttemptAction {
        self.state = AttemptState::GoSent;
        AttemptAction::SendGo
    }

    const fn advance(&mut self, state: AttemptState) -> AttemptAction {
        self.state = state;
        AttemptAction::Wait
    }

    const fn end(&mut self, verdict: Verdict) -> AttemptAction {
        self.state = AttemptState::Ended(verdict);
        AttemptAction::End(verdict)
    }
}
