//! One attempt at a request: drives its attempt machine over a stream to an egress.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;

use crate::ingress::{AttemptAction, AttemptEvent, AttemptFailure, AttemptMachine};
use crate::peers::{PeerError, PeerPool, PeerReceiver, PeerSender};
use crate::time::{Deadline, ProcessClock};
use crate::verdict::Verdict;
use crate::wire::{
    AnswerHead, EgressMessage, FailureCause, IngressMessage, LoadFigure, PeerOpening,
    RefusalReason, RequestOffer,
};

/// How long past its deadline an egress is heard, whose own word tells more than silence.
const DEADLINE_GRACE: Duration = Duration::from_millis(50);

/// Largest body that is sent with go, while the slot is held for it: at 10 Mbit/s it takes a tenth of
/// the usual hold (`proxy.slot_hold`). Larger ones are part of the offer.
const MAX_GO_BODY_BYTES: usize = 64 * 1024;

/// How an attempt ended.
pub(crate) enum AttemptOutcome {
    /// The whole answer is here.
    Complete {
        head: AnswerHead,
        body: Vec<u8>,
        load: LoadFigure,
    },
    /// The answer is long; its rest is still to come.
    Streaming(StreamingResponse),
    /// There is no answer.
    Failed {
        failure: AttemptFailure,
        /// None when the path failed, not the instance.
        load: Option<LoadFigure>,
    },
}

/// A long answer of which the first part has come.
pub(crate) struct StreamingResponse {
    pub(crate) head: AnswerHead,
    pub(crate) chunks: VecDeque<Bytes>,
    /// Dropping it cancels the request at the egress.
    pub(crate) _sender: PeerSender,
    pub(crate) receiver: PeerReceiver,
}

/// What an attempt works with.
pub(crate) struct AttemptTask<'a> {
    pub(crate) peers: &'a PeerPool,
    pub(crate) clock: ProcessClock,
    pub(crate) address: SocketAddr,
    pub(crate) deadline: Deadline,
    pub(crate) buffer_bytes: usize,
}

impl AttemptTask<'_> {
    /// Offers the request to the egress and waits for the answer.
    ///
    /// A body that comes with go is sent once, whatever the number of instances that refuse.
    pub(crate) async fn run(&self, mut offer: RequestOffer) -> AttemptOutcome {
        let needs_go = !offer.idempotent;
        let body = match needs_go && offer.body.len() <= MAX_GO_BODY_BYTES {
            true => std::mem::take(&mut offer.body),
            false => Vec::new(),
        };
        let mut machine = AttemptMachine::open(needs_go);
        let timeout = self.deadline.remaining(self.clock.now()) + DEADLINE_GRACE;
        let exchange = self.exchange(offer, body, &mut machine);
        match actix_rt::time::timeout(timeout, exchange).await {
            Ok(Ok(outcome)) => outcome,
            Ok(Err(error)) if error.never_arrived() => {
                lost_outcome(&mut machine, AttemptEvent::Refused)
            }
            Ok(Err(_)) | Err(_) => lost_outcome(&mut machine, AttemptEvent::Lost),
        }
    }

    async fn exchange(
        &self,
        offer: RequestOffer,
        mut body: Vec<u8>,
        machine: &mut AttemptMachine,
    ) -> Result<AttemptOutcome, PeerError> {
        let stream = self.peers.open_stream(self.address).await?;
        let (mut sender, mut receiver) = stream.split();
        machine.handle_event(AttemptEvent::OfferLeaves);
        sender.send(&PeerOpening::Request(Box::new(offer))).await?;
        loop {
            match receiver.expect().await? {
                EgressMessage::Ready => {
                    if machine.handle_event(AttemptEvent::Ready) == AttemptAction::SendGo {
                        let body = std::mem::take(&mut body);
                        sender.send(&IngressMessage::Go { body }).await?;
                    }
                }
                EgressMessage::Head(head) => {
                    return self.read_body(head, sender, receiver, machine).await;
                }
                EgressMessage::Refused {
                    reason,
                    retry_after_micros,
                    load,
                } => {
                    machine.handle_event(AttemptEvent::Refused);
                    return Ok(refused_outcome(reason, retry_after_micros, load));
                }
                EgressMessage::Failed {
                    verdict,
                    cause,
                    load,
                } => {
                    return Ok(failed_outcome(machine, verdict, cause, load));
                }
                EgressMessage::Chunk(_) | EgressMessage::End { .. } => {
                    return Err(PeerError::Unexpected);
                }
            }
        }
    }

    async fn read_body(
        &self,
        head: AnswerHead,
        sender: PeerSender,
        mut receiver: PeerReceiver,
        machine: &mut AttemptMachine,
    ) -> Result<AttemptOutcome, PeerError> {
        let mut chunks = VecDeque::new();
        let mut received_bytes = 0;
        while received_bytes <= self.buffer_bytes {
            match receiver.expect().await? {
                EgressMessage::Chunk(bytes) => {
                    received_bytes += bytes.len();
                    chunks.push_back(Bytes::from(bytes));
                }
                EgressMessage::End { total_bytes, load }
                    if total_bytes == received_bytes as u64 =>
                {
                    machine.handle_event(AttemptEvent::Answered);
                    let body = chunks.into_iter().flatten().collect();
                    return Ok(AttemptOutcome::Complete { head, body, load });
                }
                EgressMessage::Failed {
                    verdict,
                    cause,
                    load,
                } => {
                    return Ok(failed_outcome(machine, verdict, cause, load));
                }
                _ => return Err(PeerError::Unexpected),
            }
        }
        machine.handle_event(AttemptEvent::Answered);
        Ok(AttemptOutcome::Streaming(StreamingResponse {
            head,
            chunks,
            _sender: sender,
            receiver,
        }))
    }
}

fn failed_outcome(
    machine: &mut AttemptMachine,
    verdict: Verdict,
    cause: FailureCause,
    load: LoadFigure,
) -> AttemptOutcome {
    machine.handle_event(AttemptEvent::Failed(verdict));
    let failure = AttemptFailure {
        verdict,
        reason: None,
        cause: Some(cause),
        retry_after: Duration::ZERO,
    };
    AttemptOutcome::Failed {
        failure,
        load: Some(load),
    }
}

fn refused_outcome(
    reason: RefusalReason,
    retry_after_micros: u64,
    load: LoadFigure,
) -> AttemptOutcome {
    let failure = AttemptFailure {
        verdict: Verdict::NotRun,
        reason: Some(reason),
        cause: None,
        retry_after: Duration::from_micros(retry_after_micros),
    };
    AttemptOutcome::Failed {
        failure,
        load: Some(load),
    }
}

/// The stream failed; the machine knows what that proves.
fn lost_outcome(machine: &mut AttemptMachine, event: AttemptEvent) -> AttemptOutcome {
    let verdict = match machine.handle_event(event) {
        AttemptAction::End(verdict) => verdict,
        AttemptAction::Wait | AttemptAction::SendGo => Verdict::MayHaveRun,
    };
    let failure = AttemptFailure {
        verdict,
        reason: None,
        cause: None,
        retry_after: Duration::ZERO,
    };
    AttemptOutcome::Failed {
        failure,
        load: None,
    }
}
