//! Runs one attempt at a request: sends the offer over a stream to an egress and reads the response.

use std::cell::Cell;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::pin::pin;
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::{Either, select};

use crate::crashes::SuspectsHandle;
use crate::execution_verdict::ExecutionVerdict;
use crate::ingress::held_body::HeldBody;
use crate::ingress::shutdown_signal::ShutdownSignal;
use crate::ingress::{
    AttemptAction, AttemptEvent, AttemptFailure, AttemptMachine, BodyBudget, BodyReservation,
    ResponseLoss,
};
use crate::logs::log_target;
use crate::peers::{PeerError, PeerPool, PeerReceiver, PeerSender, TrafficPurpose};
use crate::time::{Deadline, ProcessClock};
use crate::wire::{
    BackendHead, EgressMessage, FailureCause, IngressMessage, InstanceLoad, PeerOpening,
    RefusalReason, RequestOffer,
};

/// How long past the deadline the ingress waits for the egress to report the outcome. The report
/// tells more than a timeout does.
const DEADLINE_GRACE: Duration = Duration::from_millis(50);

/// Largest part of a request body, in bytes, in one message while the egress holds the slot. At 10
/// Mbit/s this size takes a tenth of the default hold (`proxy.slot_hold`).
const MAX_PART_BYTES: usize = 64 * 1024;

/// The outcome of an attempt.
pub(crate) enum AttemptOutcome {
    /// The complete response was received.
    Complete {
        head: BackendHead,
        body: HeldBody,
        load: InstanceLoad,
    },
    /// The response exceeds the buffer, or the memory for all; the rest of its body is still to be received.
    Streaming(StreamingResponse),
    /// There is no response.
    Failed {
        failure: AttemptFailure,
        /// The load that the egress reported; none when the egress could not be heard.
        load: Option<InstanceLoad>,
    },
}

/// A response whose body is passed on while it is received.
pub(crate) struct StreamingResponse {
    pub(crate) head: BackendHead,
    /// Body chunks received so far.
    pub(crate) chunks: VecDeque<Bytes>,
    /// The memory of `chunks`.
    pub(crate) reservation: BodyReservation,
    /// Keeps the stream open; dropping it cancels the request at the egress.
    pub(crate) _sender: PeerSender,
    pub(crate) receiver: PeerReceiver,
}

/// Connections, clock and bounds of one attempt.
pub(crate) struct AttemptTask<'a> {
    pub(crate) peers: &'a PeerPool,
    pub(crate) clock: ProcessClock,
    /// Gives the attempt up when the daemon shuts down.
    pub(crate) shutdown: &'a ShutdownSignal,
    /// Address of the egress.
    pub(crate) address: SocketAddr,
    pub(crate) deadline: Deadline,
    /// Returns until when the request may be sent to an instance; none if the shutdown sets no bound.
    pub(crate) last_start: &'a dyn Fn() -> Option<Deadline>,
    /// Largest response body that is buffered until complete, in bytes.
    pub(crate) buffer_bytes: usize,
    /// Memory for the responses to all callers.
    pub(crate) answer_budget: &'a BodyBudget,
    /// Takes in that the instance ended while it ran the request.
    pub(crate) suspects: &'a SuspectsHandle,
}

impl AttemptTask<'_> {
    /// Offers the request to the egress and waits for the response.
    ///
    /// The body of a request that needs go is sent after go, so that it is sent once even if
    /// several instances refuse the offer.
    pub(crate) async fn run(&self, mut offer: RequestOffer, mut body: Bytes) -> AttemptOutcome {
        let needs_go = !offer.idempotent;
        if !needs_go {
            offer.body = std::mem::take(&mut body).into();
        }
        let mut machine = AttemptMachine::open(needs_go);
        let may_run = Cell::new(false);
        let timeout = self.deadline.remaining(self.clock.now()) + DEADLINE_GRACE;
        let result = {
            let exchange = pin!(self.exchange(offer, body, &mut machine, &may_run));
            let exchange = actix_rt::time::timeout(timeout, exchange);
            let cut_off = self.wait_cut_off(&may_run);
            match select(pin!(exchange), pin!(cut_off)).await {
                Either::Left((Ok(result), _)) => result.map_err(|error| self.loss_of(&error)),
                Either::Left((Err(_), _)) => Err(Some(ResponseLoss::TimedOut)),
                Either::Right(_) => Err(may_run.get().then_some(ResponseLoss::ShutDown)),
            }
        };
        result.unwrap_or_else(|cause| lost_outcome(&mut machine, cause))
    }

    /// Waits until the shutdown gives the attempt up: once the request can no longer be completed if no
    /// instance has it, or else when all requests must be answered.
    async fn wait_cut_off(&self, may_run: &Cell<bool>) {
        self.shutdown
            .wait_last_start(self.clock, self.last_start)
            .await;
        if may_run.get() {
            self.shutdown.wait_answer_deadline(self.clock).await;
        }
    }

    /// Whether the request may be sent to an instance now.
    fn may_start(&self) -> bool {
        (self.last_start)().is_none_or(|last_start| !last_start.has_passed(self.clock.now()))
    }

    /// Returns why the response is lost after a failure on the way to the egress; none if the offer
    /// provably never arrived.
    fn loss_of(&self, error: &PeerError) -> Option<ResponseLoss> {
        log::debug!(target: log_target::INGRESS, egress:% = self.address, cause:% = error; "Stream to the egress failed.");
        (!error.is_undelivered()).then_some(ResponseLoss::PathLost)
    }

    async fn exchange(
        &self,
        mut offer: RequestOffer,
        body: Bytes,
        machine: &mut AttemptMachine,
        may_run: &Cell<bool>,
    ) -> Result<AttemptOutcome, PeerError> {
        let stream = self.peers.open_stream(self.address).await?;
        // Opening a connection can take a second, which the instance must not get on top.
        let remaining = self.deadline.remaining(self.clock.now());
        offer.remaining_micros = u64::try_from(remaining.as_micros()).unwrap_or(u64::MAX);
        stream.set_purpose(TrafficPurpose::Requests);
        let (mut sender, mut receiver) = stream.split();
        if let Some(last_start) = (self.last_start)() {
            let wait = last_start.remaining(self.clock.now()).as_micros();
            let wait_micros = u64::try_from(wait).unwrap_or(u64::MAX);
            offer.max_wait_micros = offer.max_wait_micros.min(wait_micros);
        }
        may_run.set(offer.idempotent);
        machine.handle_event(AttemptEvent::OfferSent);
        let opening = match body.len() > MAX_PART_BYTES {
            true => PeerOpening::LongRequest(Box::new(offer), body.len() as u64),
            false => PeerOpening::Request(Box::new(offer)),
        };
        sender.send(&opening).await?;
        loop {
            match receiver.receive_required().await? {
                EgressMessage::Ready if !self.may_start() => {
                    machine.handle_event(AttemptEvent::Refused);
                    let (reason, load) = (RefusalReason::NotReady, InstanceLoad::default());
                    return Ok(refused_outcome(reason, 0, load));
                }
                EgressMessage::Ready => {
                    may_run.set(true);
                    if machine.handle_event(AttemptEvent::Ready) == AttemptAction::SendGo
                        && let Err(cause) = send_body(&mut sender, &body).await
                    {
                        // The egress may have refused the request meanwhile; its last message says so.
                        log::debug!(target: log_target::INGRESS, cause:%, bytes = body.len(); "Go or request body not sent completely.");
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
                    end,
                    load,
                } => {
                    self.suspects.receive(end.as_slice());
                    return Ok(failed_outcome(machine, verdict, cause, load));
                }
                EgressMessage::Chunk(_) | EgressMessage::End { .. } => {
                    return Err(PeerError::UnexpectedMessage);
                }
            }
        }
    }

    async fn read_body(
        &self,
        head: BackendHead,
        sender: PeerSender,
        mut receiver: PeerReceiver,
        machine: &mut AttemptMachine,
    ) -> Result<AttemptOutcome, PeerError> {
        let mut chunks = VecDeque::new();
        let mut received_bytes = 0;
        let mut reservation = self.answer_budget.reserve();
        let mut has_memory = true;
        while has_memory && received_bytes <= self.buffer_bytes {
            match receiver.receive_required().await? {
                EgressMessage::Chunk(bytes) => {
                    received_bytes += bytes.len();
                    has_memory = reservation.grow(bytes.len());
                    chunks.push_back(Bytes::from(bytes));
                }
                EgressMessage::End { total_bytes, load }
                    if total_bytes == received_bytes as u64 =>
                {
                    machine.handle_event(AttemptEvent::Answered);
                    let body = HeldBody::open(chunks, reservation);
                    return Ok(AttemptOutcome::Complete { head, body, load });
                }
                EgressMessage::Failed {
                    verdict,
                    cause,
                    end,
                    load,
                } => {
                    self.suspects.receive(end.as_slice());
                    return Ok(failed_outcome(machine, verdict, cause, load));
                }
                _ => return Err(PeerError::UnexpectedMessage),
            }
        }
        machine.handle_event(AttemptEvent::Answered);
        Ok(AttemptOutcome::Streaming(StreamingResponse {
            head,
            chunks,
            reservation,
            _sender: sender,
            receiver,
        }))
    }
}

/// Sends go and the body, in parts if it is long.
async fn send_body(sender: &mut PeerSender, body: &Bytes) -> Result<(), PeerError> {
    if body.len() <= MAX_PART_BYTES {
        let body = body.to_vec();
        return sender.send(&IngressMessage::Go { body }).await;
    }
    let go = IngressMessage::Go { body: Vec::new() };
    sender.send(&go).await?;
    for part in body.chunks(MAX_PART_BYTES) {
        sender
            .send(&IngressMessage::BodyPart(part.to_vec()))
            .await?;
    }
    Ok(())
}

fn failed_outcome(
    machine: &mut AttemptMachine,
    verdict: ExecutionVerdict,
    cause: FailureCause,
    load: InstanceLoad,
) -> AttemptOutcome {
    machine.handle_event(AttemptEvent::Failed(verdict));
    let failure = AttemptFailure {
        verdict,
        reason: None,
        cause: Some(ResponseLoss::Reported(cause)),
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
    load: InstanceLoad,
) -> AttemptOutcome {
    let failure = AttemptFailure {
        verdict: ExecutionVerdict::NotRun,
        reason: Some(reason),
        cause: None,
        retry_after: Duration::from_micros(retry_after_micros),
    };
    AttemptOutcome::Failed {
        failure,
        load: Some(load),
    }
}

/// Ends the attempt without a word of the egress, with what the state machine says that this proves.
/// Without a `cause` the offer never arrived, or was withdrawn before go.
fn lost_outcome(machine: &mut AttemptMachine, cause: Option<ResponseLoss>) -> AttemptOutcome {
    let event = match cause {
        Some(_) => AttemptEvent::Lost,
        None => AttemptEvent::Refused,
    };
    let verdict = match machine.handle_event(event) {
        AttemptAction::End(verdict) => verdict,
        AttemptAction::Wait | AttemptAction::SendGo => ExecutionVerdict::MayHaveRun,
    };
    let failure = AttemptFailure {
        verdict,
        reason: None,
        cause,
        retry_after: Duration::ZERO,
    };
    AttemptOutcome::Failed {
        failure,
        load: None,
    }
}
