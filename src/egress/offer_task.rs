//! Serves one offer: drives its start machine until the request may run, or never will.

use std::time::Duration;

use futures_util::future::{Either, select};
use std::pin::pin;
use tokio::sync::oneshot;

use crate::egress::egress_handle::SharedDispatcher;
use crate::egress::execution_task::ExecutionTask;
use crate::egress::{
    EgressHandle, SlotDecision, SlotGuard, SlotResponse, StartAction, StartEvent, StartMachine,
};
use crate::peers::{PeerError, PeerReceiver, PeerSender, PeerStream};
use crate::queue::{QueuedRequest, RequestKey};
use crate::time::{Deadline, ProcessClock};
use crate::wire::{EgressMessage, IngressMessage, LoadFigure, RefusalReason, RequestOffer};

/// When to come back to an instance that takes no work.
pub(crate) const NOT_READY_RETRY: Duration = Duration::from_millis(100);

/// When to come back to an instance that is thought sick: another takes the request meanwhile.
const SICK_RETRY: Duration = Duration::from_millis(200);

/// When to come back to an instance whose slots are taken.
const BUSY_RETRY: Duration = Duration::from_millis(50);

/// Serves `offer` until its stream ends.
pub(crate) async fn run(egress: &EgressHandle, offer: RequestOffer, stream: PeerStream) {
    let (mut sender, receiver) = stream.split();
    let result = match egress.dispatcher(&offer.instance) {
        None => {
            refuse(
                &mut sender,
                RefusalReason::UnknownInstance,
                NOT_READY_RETRY,
                LoadFigure::default(),
            )
            .await
        }
        Some(dispatcher) if !egress.takes_work(&dispatcher) => {
            let load = dispatcher.borrow().load();
            refuse(&mut sender, RefusalReason::NotReady, NOT_READY_RETRY, load).await
        }
        Some(dispatcher) if !admits(egress, &dispatcher, &offer) => {
            let load = dispatcher.borrow().load();
            refuse(&mut sender, RefusalReason::Sick, SICK_RETRY, load).await
        }
        Some(dispatcher) => {
            OfferTask::open(egress, offer, dispatcher, sender, receiver)
                .run()
                .await
        }
    };
    if let Err(cause) = result {
        log::debug!(target: crate::logs::part::EGRESS, cause:%; "Stream to the ingress ended.");
    }
}

fn admits(egress: &EgressHandle, dispatcher: &SharedDispatcher, offer: &RequestOffer) -> bool {
    let now = egress.sources.clock.now();
    let dispatcher = dispatcher.borrow();
    dispatcher.admits(offer.idempotent, offer.is_forced, now)
}

/// Tells the ingress that the request was not run and never will be.
pub(crate) async fn refuse(
    sender: &mut PeerSender,
    reason: RefusalReason,
    retry_after: Duration,
    load: LoadFigure,
) -> Result<(), PeerError> {
    let retry_after_micros = u64::try_from(retry_after.as_micros()).unwrap_or(u64::MAX);
    sender
        .send(&EgressMessage::Refused {
            reason,
            retry_after_micros,
            load,
        })
        .await?;
    sender.finish()
}

struct OfferTask<'a> {
    egress: &'a EgressHandle,
    offer: RequestOffer,
    dispatcher: SharedDispatcher,
    sender: PeerSender,
    receiver: PeerReceiver,
    clock: ProcessClock,
    deadline: Deadline,
}

impl<'a> OfferTask<'a> {
    fn open(
        egress: &'a EgressHandle,
        offer: RequestOffer,
        dispatcher: SharedDispatcher,
        sender: PeerSender,
        receiver: PeerReceiver,
    ) -> Self {
        let clock = egress.sources.clock;
        let deadline = clock
            .now()
            .after(Duration::from_micros(offer.remaining_micros));
        Self {
            egress,
            offer,
            dispatcher,
            sender,
            receiver,
            clock,
            deadline,
        }
    }

    async fn run(mut self) -> Result<(), PeerError> {
        let key = RequestKey {
            boot: self.offer.boot,
            request: self.offer.request,
        };
        let mut guard = SlotGuard::open(self.dispatcher.clone(), key, self.clock);
        if self.offer.idempotent {
            self.dispatcher.borrow_mut().begin_trial(key);
        }
        match self.start(key).await? {
            StartEnd::Run => {}
            StartEnd::Refused(reason, retry_after) => {
                drop(guard);
                let load = self.dispatcher.borrow().load();
                return refuse(&mut self.sender, reason, retry_after, load).await;
            }
            StartEnd::Abandoned => return Ok(()),
        }
        guard.mark_sent();
        self.into_execution().run(guard).await
    }

    fn into_execution(self) -> ExecutionTask<'a> {
        ExecutionTask {
            egress: self.egress,
            offer: self.offer,
            dispatcher: self.dispatcher,
            sender: self.sender,
            receiver: self.receiver,
            clock: self.clock,
            deadline: self.deadline,
        }
    }

    /// Drives the start machine until the request may run, or never will.
    async fn start(&mut self, key: RequestKey) -> Result<StartEnd, PeerError> {
        let needs_go = !self.offer.idempotent;
        let hold = self.egress.sources.slot_hold;
        let mut machine = StartMachine::open(needs_go, hold, self.deadline);
        let mut retry_after = NOT_READY_RETRY;
        let mut waiting = None;
        let mut event = match self.request_slot(key) {
            SlotResponse::Immediate(decision) => event_of_decision(decision, &mut retry_after),
            SlotResponse::Pending(_) if !self.offer.may_wait => {
                return Ok(StartEnd::Refused(RefusalReason::Busy, BUSY_RETRY));
            }
            SlotResponse::Pending(receiver) => {
                waiting = Some(receiver);
                StartEvent::Tick
            }
        };
        loop {
            match machine.take(event, self.clock.now()) {
                StartAction::Wait => {}
                StartAction::SendReady => self.sender.send(&EgressMessage::Ready).await?,
                StartAction::Run => return Ok(StartEnd::Run),
                StartAction::Refuse(reason) => return Ok(StartEnd::Refused(reason, retry_after)),
                StartAction::Abandon => return Ok(StartEnd::Abandoned),
            }
            event = self
                .next_event(machine.wake_at(), &mut waiting, &mut retry_after)
                .await;
        }
    }

    fn request_slot(&self, key: RequestKey) -> SlotResponse {
        let request = QueuedRequest {
            key,
            account: self.offer.account.clone(),
            class: self.offer.class,
            deadline: self.deadline,
        };
        self.dispatcher
            .borrow_mut()
            .request_slot(request, self.clock.now())
    }

    async fn next_event(
        &mut self,
        wake_at: Deadline,
        waiting: &mut Option<oneshot::Receiver<SlotDecision>>,
        retry_after: &mut Duration,
    ) -> StartEvent {
        let decision = pin!(next_decision(waiting));
        let message = pin!(self.receiver.receive::<IngressMessage>());
        let timer = pin!(actix_rt::time::sleep(wake_at.remaining(self.clock.now())));
        let message = match select(select(decision, message), timer).await {
            Either::Left((Either::Left((decision, _)), _)) => {
                return event_of_decision(decision, retry_after);
            }
            Either::Left((Either::Right((message, _)), _)) => message,
            Either::Right(_) => return StartEvent::Tick,
        };
        match message {
            Ok(Some(IngressMessage::Go { body })) => {
                if !body.is_empty() {
                    self.offer.body = body;
                }
                StartEvent::Go
            }
            Ok(None) | Err(_) => StartEvent::StreamLost,
        }
    }
}

enum StartEnd {
    Run,
    Refused(RefusalReason, Duration),
    Abandoned,
}

fn event_of_decision(decision: SlotDecision, retry_after: &mut Duration) -> StartEvent {
    match decision {
        SlotDecision::Granted => StartEvent::SlotGranted,
        SlotDecision::Refused(span) => {
            *retry_after = span;
            StartEvent::QueueRefused
        }
    }
}

/// The queue's decision, once; pending while there is none to come.
async fn next_decision(waiting: &mut Option<oneshot::Receiver<SlotDecision>>) -> SlotDecision {
    let Some(receiver) = waiting.as_mut() else {
        return std::future::pending().await;
    };
    let decision = receiver.await;
    *waiting = None;
    decision.unwrap_or(SlotDecision::Refused(NOT_READY_RETRY))
}
