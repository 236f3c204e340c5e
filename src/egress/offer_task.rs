//! Serves a request offered by an ingress: admission, the wait for a slot and the start.

use std::time::Duration;

use futures_util::future::{Either, select};
use std::pin::pin;
use std::rc::Rc;
use tokio::sync::oneshot;

use crate::crashes::RequestStanding;
use crate::egress::egress_handle::SharedDispatcher;
use crate::egress::execution_task::ExecutionTask;
use crate::egress::{
    EgressHandle, OfferedBody, SlotDecision, SlotGuard, SlotResponse, StartAction, StartEvent,
    StartMachine,
};
use crate::peers::{PeerError, PeerReceiver, PeerSender, PeerStream};
use crate::queue::{QueuedRequest, RequestKey, UrgentRequest};
use crate::time::{Deadline, ProcessClock};
use crate::wire::{EgressMessage, IngressMessage, InstanceLoad, RefusalReason, RequestOffer};

/// Retry-after time when the instance takes no work or cannot be reached.
pub(crate) const NOT_READY_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Retry-after time when the instance's health admits no request. Longer than the others because
/// another instance serves the request meanwhile.
const UNHEALTHY_RETRY_AFTER: Duration = Duration::from_millis(200);

/// Retry-after time when all slots are in use and the request must not wait.
const BUSY_RETRY_AFTER: Duration = Duration::from_millis(50);

/// Retry-after time of a suspected request while another one runs at the instance.
const SUSPECT_RETRY_AFTER: Duration = Duration::from_millis(50);

/// Retry-after time while the availability zone is evacuated. Other zones serve the request meanwhile.
const EVACUATED_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Serves `offer` until its stream ends.
pub(crate) async fn run(
    egress: &EgressHandle,
    offer: RequestOffer,
    body_bytes: u64,
    stream: PeerStream,
) {
    let (mut sender, receiver) = stream.split();
    let result = match egress.dispatcher(&offer.instance) {
        None => {
            let (reason, load) = (RefusalReason::UnknownInstance, InstanceLoad::default());
            refuse(&mut sender, reason, NOT_READY_RETRY_AFTER, load).await
        }
        Some(dispatcher) => match admit(egress, &dispatcher, &offer) {
            Ok(()) => {
                let body = OfferedBody::open(body_bytes);
                OfferTask::open(egress, offer, body, dispatcher, sender, receiver)
                    .run()
                    .await
            }
            Err((reason, retry_after)) => {
                egress.gate.count_refusal(reason);
                let load = dispatcher.borrow().load(egress.sources.clock.now());
                refuse(&mut sender, reason, retry_after, load).await
            }
        },
    };
    if let Err(cause) = result {
        log::debug!(target: crate::logs::log_target::EGRESS, cause:%; "Stream to the ingress failed.");
    }
}

/// Checks that the zone is in service, that the instance takes work, that its health admits the request,
/// and that neither its limit nor what it takes while it is cold is reached, of which the request takes
/// a part.
fn admit(
    egress: &EgressHandle,
    dispatcher: &SharedDispatcher,
    offer: &RequestOffer,
) -> Result<(), (RefusalReason, Duration)> {
    if let Some(reason) = egress.gate.refusal() {
        return Err((reason, zone_retry_after(reason)));
    }
    if !egress.accepts_requests(dispatcher) {
        return Err((RefusalReason::NotReady, NOT_READY_RETRY_AFTER));
    }
    if let Some(reason) = suspect_refusal(egress, dispatcher, offer) {
        return Err((reason, SUSPECT_RETRY_AFTER));
    }
    let now = egress.sources.clock.now();
    let mut dispatcher = dispatcher.borrow_mut();
    if !dispatcher.admits(offer.idempotent, offer.is_forced, now) {
        return Err((RefusalReason::Unhealthy, UNHEALTHY_RETRY_AFTER));
    }
    let limit = dispatcher.take_limit(now);
    limit.map_err(|retry_after| (RefusalReason::LimitReached, retry_after))?;
    let claimed = dispatcher.claim_cold(request_key(offer), now);
    claimed.map_err(|retry_after| (RefusalReason::Cold, retry_after))
}

/// Why the request may not run at the instance because it ends instances, or may: then it runs only
/// beside requests that are not suspected, so that the end of the instance tells which one is guilty.
fn suspect_refusal(
    egress: &EgressHandle,
    dispatcher: &SharedDispatcher,
    offer: &RequestOffer,
) -> Option<RefusalReason> {
    let suspects = &egress.sources.suspects;
    match suspects.standing(offer.digest?) {
        RequestStanding::Clear => None,
        RequestStanding::Refused(_) => Some(RefusalReason::EndsInstances),
        RequestStanding::Suspected(_) => {
            let is_suspect = |digest| suspects.standing(digest).is_suspect();
            let digests = &dispatcher.borrow().digests;
            let is_running = digests.any_other(request_key(offer), is_suspect);
            is_running.then_some(RefusalReason::SuspectRunning)
        }
    }
}

const fn request_key(offer: &RequestOffer) -> RequestKey {
    RequestKey {
        boot: offer.boot,
        request: offer.request,
    }
}

/// Retry-after time of a request that the gate of the availability zone refuses.
const fn zone_retry_after(reason: RefusalReason) -> Duration {
    match reason {
        RefusalReason::Evacuated => EVACUATED_RETRY_AFTER,
        _ => NOT_READY_RETRY_AFTER,
    }
}

/// Tells the ingress that the request was not run and never will be, and ends the stream.
pub(crate) async fn refuse(
    sender: &mut PeerSender,
    reason: RefusalReason,
    retry_after: Duration,
    load: InstanceLoad,
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
    body: OfferedBody,
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
        body: OfferedBody,
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
            body,
            dispatcher,
            sender,
            receiver,
            clock,
            deadline,
        }
    }

    async fn run(mut self) -> Result<(), PeerError> {
        let key = request_key(&self.offer);
        let mut guard = SlotGuard::open(self.dispatcher.clone(), key, self.clock);
        if self.offer.idempotent {
            self.dispatcher.borrow_mut().begin_trial(key);
        }
        let outcome = self.start(key).await?;
        match self.pass_gates(outcome, key) {
            StartOutcome::Run => {}
            StartOutcome::Refused(reason, retry_after) => {
                drop(guard);
                self.egress.gate.count_refusal(reason);
                let load = self.dispatcher.borrow().load(self.clock.now());
                return refuse(&mut self.sender, reason, retry_after, load).await;
            }
            StartOutcome::Abandoned => return Ok(()),
        }
        guard.mark_sent();
        if let Some(digest) = self.offer.digest {
            let mut dispatcher = self.dispatcher.borrow_mut();
            dispatcher.digests.start(key, digest, self.clock.now());
        }
        self.into_execution().run(guard).await
    }

    /// Lets a request that may run through the gates of the instance and the shutdown, of the zone, of
    /// requests that end instances and of a cold instance, which may have closed while it waited. No request
    /// passes to the instance after this.
    fn pass_gates(&self, outcome: StartOutcome, key: RequestKey) -> StartOutcome {
        match self.pass_zone_gate(self.pass_instance(outcome)) {
            StartOutcome::Run if !self.is_dispatcher_current() => {
                StartOutcome::Refused(RefusalReason::NotReady, NOT_READY_RETRY_AFTER)
            }
            outcome => match self.pass_health(outcome, key) {
                StartOutcome::Run => {
                    match suspect_refusal(self.egress, &self.dispatcher, &self.offer) {
                        Some(reason) => StartOutcome::Refused(reason, SUSPECT_RETRY_AFTER),
                        None => self.pass_cold(key),
                    }
                }
                outcome => outcome,
            },
        }
    }

    /// Refuses a request that would run now, or that left the queue, if the instance takes no work any more
    /// because it leaves, or if the exit of the daemon might cut the request off.
    fn pass_instance(&self, outcome: StartOutcome) -> StartOutcome {
        let (dispatcher, offer) = (&self.dispatcher, &self.offer);
        let may_start = self.egress.accepts_requests(dispatcher)
            && self
                .egress
                .ends_in_time(dispatcher, &offer.route, offer.class);
        match outcome.has_left_queue() && !may_start {
            true => StartOutcome::Refused(RefusalReason::NotReady, NOT_READY_RETRY_AFTER),
            false => outcome,
        }
    }

    /// Refuses a request that would run now, or that left the queue, if the instance has begun to fail
    /// requests early since the offer.
    fn pass_health(&self, outcome: StartOutcome, key: RequestKey) -> StartOutcome {
        let dispatcher = self.dispatcher.borrow();
        let is_admitted = dispatcher.admits_start(key, self.offer.is_forced);
        match outcome.has_left_queue() && !is_admitted {
            true => StartOutcome::Refused(RefusalReason::Unhealthy, UNHEALTHY_RETRY_AFTER),
            false => outcome,
        }
    }

    /// Whether the instance is still the one that the request was queued for. Its address may belong to
    /// a new process since.
    fn is_dispatcher_current(&self) -> bool {
        let current = self.egress.dispatcher(&self.offer.instance);
        current.is_some_and(|current| Rc::ptr_eq(&current, &self.dispatcher))
    }

    /// Refuses a request that would run now, or that left the queue, if the zone has been evacuated
    /// since the offer.
    fn pass_zone_gate(&self, outcome: StartOutcome) -> StartOutcome {
        let has_left_queue = outcome.has_left_queue();
        match self.egress.gate.refusal().filter(|_| has_left_queue) {
            Some(reason) => StartOutcome::Refused(reason, zone_retry_after(reason)),
            None => outcome,
        }
    }

    /// Takes a token for the request if the instance is cold, or refuses it.
    fn pass_cold(&self, key: RequestKey) -> StartOutcome {
        let passed = self
            .dispatcher
            .borrow_mut()
            .pass_cold(key, self.clock.now());
        match passed {
            Ok(()) => StartOutcome::Run,
            Err(retry_after) => StartOutcome::Refused(RefusalReason::Cold, retry_after),
        }
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

    /// Requests a slot and drives the start state machine until the request may run or is given
    /// up.
    async fn start(&mut self, key: RequestKey) -> Result<StartOutcome, PeerError> {
        let needs_go = !self.offer.idempotent;
        let hold = self.egress.sources.slot_hold;
        let mut machine = StartMachine::open(needs_go, hold, self.deadline);
        let mut retry_after = NOT_READY_RETRY_AFTER;
        let request = self.urgent_request(key);
        if let Some(wait) = self.excessive_wait(&request) {
            return Ok(StartOutcome::Refused(RefusalReason::Busy, wait));
        }
        let mut waiting = None;
        let mut event = match self.request_slot(request) {
            SlotResponse::Immediate(decision) => event_of_decision(decision, &mut retry_after),
            SlotResponse::Pending(_) if !self.offer.may_wait => {
                return Ok(StartOutcome::Refused(RefusalReason::Busy, BUSY_RETRY_AFTER));
            }
            SlotResponse::Pending(receiver) => {
                waiting = Some(receiver);
                StartEvent::Tick
            }
        };
        loop {
            match machine.handle_event(event, self.clock.now()) {
                StartAction::Wait => {}
                StartAction::SendReady => self.sender.send(&EgressMessage::Ready).await?,
                StartAction::Run => return Ok(StartOutcome::Run),
                StartAction::Refuse(reason) => {
                    return Ok(StartOutcome::Refused(reason, retry_after));
                }
                StartAction::Abandon => return Ok(StartOutcome::Abandoned),
            }
            event = self
                .next_event(machine.wake_at(), &mut waiting, &mut retry_after)
                .await;
        }
    }

    /// Returns the expected wait for a slot if the offer does not permit so long a wait.
    fn excessive_wait(&self, request: &UrgentRequest) -> Option<Duration> {
        if self.offer.max_wait_micros == u64::MAX {
            return None;
        }
        let bound = Duration::from_micros(self.offer.max_wait_micros);
        let dispatcher = self.dispatcher.borrow();
        let wait = dispatcher.queue().expected_wait(request, self.clock.now());
        (wait > bound).then_some(wait)
    }

    fn request_slot(&self, request: UrgentRequest) -> SlotResponse {
        self.dispatcher
            .borrow_mut()
            .request_slot(request, self.clock.now())
    }

    fn urgent_request(&self, key: RequestKey) -> UrgentRequest {
        let goal = self.offer.goal_micros.map(Duration::from_micros);
        UrgentRequest {
            request: QueuedRequest {
                key,
                account: self.offer.account.clone(),
                class: self.offer.class,
                deadline: self.deadline,
            },
            route: self.offer.route.clone(),
            priority: self.offer.priority,
            goal: goal.map_or(self.deadline, |goal| self.clock.now().after(goal)),
            weight: self.offer.account_weight,
        }
    }

    /// Waits for the slot decision, a message from the ingress, the shutdown or `wake_at`. Stores what
    /// arrives of the request body, and the retry-after time if the queue refuses.
    async fn next_event(
        &mut self,
        wake_at: Deadline,
        waiting: &mut Option<oneshot::Receiver<SlotDecision>>,
        retry_after: &mut Duration,
    ) -> StartEvent {
        let decision = pin!(next_decision(waiting));
        let message = pin!(self.receiver.receive::<IngressMessage>());
        let timer = pin!(actix_rt::time::sleep(wake_at.remaining(self.clock.now())));
        let stop = pin!(self.egress.wait_stopping());
        let message = match select(select(decision, message), select(stop, timer)).await {
            Either::Left((Either::Left((decision, _)), _)) => {
                return event_of_decision(decision, retry_after);
            }
            Either::Left((Either::Right((message, _)), _)) => message,
            Either::Right((Either::Left(_), _)) => return StartEvent::EgressStopped,
            Either::Right((Either::Right(_), _)) => return StartEvent::Tick,
        };
        match message {
            // The rest of a long body would come for nothing.
            Ok(Some(_)) if !self.egress.accepts_requests(&self.dispatcher) => {
                StartEvent::EgressStopped
            }
            Ok(Some(message)) => self.body.add(message, &mut self.offer.body),
            Ok(None) | Err(_) => StartEvent::StreamLost,
        }
    }
}

/// How the start of a request ended.
enum StartOutcome {
    /// The request holds a slot and may be sent to the instance.
    Run,
    /// The request is refused, with the time after which to retry.
    Refused(RefusalReason, Duration),
    /// The ingress is gone.
    Abandoned,
}

impl StartOutcome {
    /// Whether the request would run now, or the queue has turned it away.
    const fn has_left_queue(&self) -> bool {
        matches!(
            self,
            Self::Run | Self::Refused(RefusalReason::Overloaded, _)
        )
    }
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

/// Waits for the pending slot decision and clears `waiting`; never returns if none is pending.
async fn next_decision(waiting: &mut Option<oneshot::Receiver<SlotDecision>>) -> SlotDecision {
    let Some(receiver) = waiting.as_mut() else {
        return std::future::pending().await;
    };
    let decision = receiver.await;
    *waiting = None;
    decision.unwrap_or(SlotDecision::Refused(NOT_READY_RETRY_AFTER))
}
