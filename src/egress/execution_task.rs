//! Runs an offered request on its instance and passes the answer on.

use std::pin::pin;
use std::time::Duration;

use actix_http::StatusCode;
use bytes::Bytes;
use futures_util::future::{Either, select};

use crate::egress::egress_handle::SharedDispatcher;
use crate::egress::offer_task::{NOT_READY_RETRY, refuse};
use crate::egress::probe_task::{outcome_of_failure, outcome_of_status};
use crate::egress::{BackendResponse, EgressHandle, SendFailure, SlotGuard};
use crate::health::{SampleOutcome, ServiceSample};
use crate::logs::part;
use crate::peers::{PeerError, PeerReceiver, PeerSender};
use crate::time::{Deadline, MonoTime, ProcessClock};
use crate::verdict::Verdict;
use crate::wire::{EgressMessage, FailureCause, IngressMessage, RefusalReason, RequestOffer};

/// A request that holds its slot and may run.
pub(crate) struct ExecutionTask<'a> {
    pub(crate) egress: &'a EgressHandle,
    pub(crate) offer: RequestOffer,
    pub(crate) dispatcher: SharedDispatcher,
    pub(crate) sender: PeerSender,
    pub(crate) receiver: PeerReceiver,
    pub(crate) clock: ProcessClock,
    pub(crate) deadline: Deadline,
}

impl ExecutionTask<'_> {
    /// Runs the request; an idempotent one is cancelled when its ingress goes away.
    pub(crate) async fn run(mut self, guard: SlotGuard) -> Result<(), PeerError> {
        let start = guard.sent().unwrap_or_else(|| self.clock.now());
        match self.send_to_instance().await {
            None => Ok(()),
            Some(Ok(answer)) if answer.is_not_run => self.refuse(answer, guard).await,
            Some(Ok(answer)) => self.pass_on(answer, start, guard).await,
            Some(Err(failure)) => {
                self.observe(outcome_of_failure(failure.cause), start, Duration::ZERO);
                drop(guard);
                self.fail(failure).await
            }
        }
    }

    /// The answer's head, or none when the request was cancelled.
    async fn send_to_instance(&mut self) -> Option<Result<BackendResponse, SendFailure>> {
        let address = self.dispatcher.borrow().local().address;
        let sending = pin!(self.egress.client.send(address, &self.offer, self.deadline));
        let lost = pin!(wait_lost(&mut self.receiver));
        match select(sending, lost).await {
            Either::Left((result, _)) => Some(result),
            Either::Right(((), _)) if self.offer.idempotent => None,
            Either::Right(((), sending)) => Some(sending.await),
        }
    }

    /// The instance says that it did not run the request.
    async fn refuse(
        &mut self,
        mut answer: BackendResponse,
        guard: SlotGuard,
    ) -> Result<(), PeerError> {
        let reason = match answer.head.status == StatusCode::MISDIRECTED_REQUEST.as_u16() {
            true => RefusalReason::WrongInstance,
            false => RefusalReason::Shed,
        };
        self.observe(SampleOutcome::Shed, self.clock.now(), Duration::ZERO);
        while let Ok(Some(_)) = self.next_chunk(&mut answer).await {}
        drop(guard);
        let address = self.dispatcher.borrow().local().address;
        self.egress.client.release(address, answer);
        let load = self.dispatcher.borrow().load();
        refuse(&mut self.sender, reason, NOT_READY_RETRY, load).await
    }

    async fn pass_on(
        &mut self,
        mut answer: BackendResponse,
        start: MonoTime,
        guard: SlotGuard,
    ) -> Result<(), PeerError> {
        let mut blocked = Duration::ZERO;
        answer.head.load = self.dispatcher.borrow().load();
        self.sender
            .send(&EgressMessage::Head(answer.head.clone()))
            .await?;
        loop {
            match self.next_chunk(&mut answer).await {
                Ok(Some(chunk)) => blocked += self.send_chunk(&chunk).await?,
                Ok(None) => break,
                Err(cause) => {
                    self.observe(outcome_of_failure(cause), start, blocked);
                    drop(guard);
                    return self.fail(SendFailure::may_have_run(cause)).await;
                }
            }
        }
        log::debug!(target: part::EGRESS, request = self.offer.name, status = answer.head.status, bytes = answer.received_bytes(); "Answer passed on.");
        self.observe(outcome_of_status(answer.head.status), start, blocked);
        self.remember(answer.head.status);
        drop(guard);
        let total_bytes = answer.received_bytes();
        let address = self.dispatcher.borrow().local().address;
        self.egress.client.release(address, answer);
        let load = self.dispatcher.borrow().load();
        self.sender
            .send(&EgressMessage::End { total_bytes, load })
            .await?;
        self.sender.finish()
    }

    async fn next_chunk(
        &self,
        answer: &mut BackendResponse,
    ) -> Result<Option<Bytes>, FailureCause> {
        let remaining = self.deadline.remaining(self.clock.now());
        actix_rt::time::timeout(remaining, answer.next_chunk())
            .await
            .unwrap_or(Err(FailureCause::Timeout))
    }

    /// Sends a chunk by the deadline, and tells how long the ingress kept it waiting.
    ///
    /// A caller that stops reading must not keep the slot for good.
    async fn send_chunk(&mut self, chunk: &Bytes) -> Result<Duration, PeerError> {
        let before = self.clock.now();
        let message = EgressMessage::Chunk(chunk.to_vec());
        let sending = self.sender.send(&message);
        actix_rt::time::timeout(self.deadline.remaining(before), sending)
            .await
            .unwrap_or(Err(PeerError::Timeout))?;
        Ok(self.clock.now().since(before))
    }

    async fn fail(&mut self, failure: SendFailure) -> Result<(), PeerError> {
        let load = self.dispatcher.borrow().load();
        if failure.verdict == Verdict::NotRun {
            return refuse(
                &mut self.sender,
                RefusalReason::ConnectFailed,
                NOT_READY_RETRY,
                load,
            )
            .await;
        }
        let message = EgressMessage::Failed {
            verdict: failure.verdict,
            cause: failure.cause,
            load,
        };
        self.sender.send(&message).await?;
        self.sender.finish()
    }

    fn observe(&self, outcome: SampleOutcome, start: MonoTime, blocked: Duration) {
        let total = self.clock.now().since(start);
        log::debug!(
            target: part::EGRESS,
            request = self.offer.name,
            instance:% = self.offer.instance,
            class:% = self.offer.class,
            outcome:?,
            took_ms = total.as_millis(),
            is_forced = self.offer.is_forced,
            health:? = self.dispatcher.borrow_mut().health().published();
            "Request ended at its instance."
        );
        let sample = ServiceSample {
            outcome,
            service_time: total.saturating_sub(blocked),
            class: self.offer.class,
        };
        let durations = &self.egress.sources.durations;
        durations.record_instance(sample.class, outcome, sample.service_time);
        self.egress.observe(&self.dispatcher, &sample);
    }

    fn remember(&self, status: u16) {
        if self.offer.method == "GET" && self.offer.idempotent && (200..300).contains(&status) {
            self.dispatcher
                .borrow_mut()
                .remember_target(&self.offer.target);
        }
    }
}

/// Ends when the ingress has gone away.
async fn wait_lost(receiver: &mut PeerReceiver) {
    while let Ok(Some(_)) = receiver.receive::<IngressMessage>().await {}
}
