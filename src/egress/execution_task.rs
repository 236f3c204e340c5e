//! Sends an admitted request to its instance and streams the response back to the ingress.

use std::pin::pin;
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::{Either, select};

use crate::egress::egress_handle::SharedDispatcher;
use crate::egress::offer_task::{NOT_READY_RETRY_AFTER, refuse};
use crate::egress::probe_task::{outcome_of_failure, outcome_of_status};
use crate::egress::{BackendResponse, EgressHandle, SendFailure, SlotGuard};
use crate::execution_verdict::ExecutionVerdict;
use crate::health::{SampleOutcome, ServiceSample};
use crate::logs::log_target;
use crate::peers::{PeerError, PeerReceiver, PeerSender};
use crate::time::{Deadline, MonoTime, ProcessClock};
use crate::units::Rate;
use crate::wire::{
    CallRate, EgressMessage, FailureCause, IngressMessage, RefusalReason, RequestOffer, RunReport,
};

/// Maximum size of the body that is read of a response that says that the request was not run, in
/// bytes.
const MAX_NOT_RUN_BYTES: u64 = 64 * 1024;
/// Longest time that such a body is read. The request waits for it to go to another instance.
const NOT_RUN_BODY_TIME: Duration = Duration::from_millis(100);

/// A request that holds a slot of its instance and may run.
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
    /// Runs the request and frees its slot before the last message to the ingress.
    ///
    /// An idempotent request is cancelled when the stream from the ingress ends.
    pub(crate) async fn run(mut self, guard: SlotGuard) -> Result<(), PeerError> {
        let start = guard.sent_at().unwrap_or_else(|| self.clock.now());
        let result = self.send_to_instance().await;
        if let Some(Ok(response)) = &result {
            self.observe_statements(response, start);
        }
        match result {
            None => Ok(()),
            Some(Ok(response)) if response.is_not_run => self.refuse_not_run(response, guard).await,
            Some(Ok(response)) => self.forward(response, start, guard).await,
            Some(Err(failure)) => {
                if failure == SendFailure::not_run(FailureCause::ConnectionLost) {
                    self.egress.observe_cold_end(&self.dispatcher);
                }
                if failure == SendFailure::may_have_run(FailureCause::ConnectionLost) {
                    self.egress.observe_lost_connection(&self.dispatcher).await;
                }
                self.observe(outcome_of_failure(failure.cause), start, Duration::ZERO);
                drop(guard);
                self.report_failure(failure).await
            }
        }
    }

    /// The response whose head has arrived, or none if the request was cancelled.
    async fn send_to_instance(&mut self) -> Option<Result<BackendResponse, SendFailure>> {
        let address = self.dispatcher.borrow().local().address;
        let sending = pin!(self.egress.client.send(address, &self.offer, self.deadline));
        let lost = pin!(wait_stream_end(&mut self.receiver));
        match select(sending, lost).await {
            Either::Left((result, _)) => Some(result),
            Either::Right(((), _)) if self.offer.idempotent => None,
            Either::Right(((), sending)) => Some(sending.await),
        }
    }

    /// Takes in what the response states of the instance: that it leaves, its limit, and how long it
    /// stays cold.
    fn observe_statements(&self, response: &BackendResponse, sent: MonoTime) {
        if response.is_from_other_instance() {
            return;
        }
        if response.is_leaving {
            (self.egress.sources.on_leaving)(&self.offer.instance);
        }
        let now = self.clock.now();
        if let Some(left) = response.cold {
            self.egress
                .observe_cold_response(&self.dispatcher, left, sent);
        }
        let mut dispatcher = self.dispatcher.borrow_mut();
        if dispatcher.observe_limit(response.limit, sent, now) {
            log::info!(
                target: log_target::EGRESS,
                request = self.offer.request_name,
                instance:% = self.offer.instance,
                requests_per_second:? = response.limit.map(Rate::events_per_second);
                "Instance states another limit."
            );
        }
    }

    /// Refuses the offer after the instance stated that it did not execute the request.
    async fn refuse_not_run(
        &mut self,
        mut response: BackendResponse,
        guard: SlotGuard,
    ) -> Result<(), PeerError> {
        let reason = match response.is_from_other_instance() {
            true => RefusalReason::WrongInstance,
            false => RefusalReason::Shed,
        };
        self.observe(SampleOutcome::Shed, self.clock.now(), Duration::ZERO);
        let reading = discard_body(&mut response);
        let is_read = actix_rt::time::timeout(NOT_RUN_BODY_TIME, reading).await;
        drop(guard);
        if is_read.unwrap_or(false) {
            let address = self.dispatcher.borrow().local().address;
            self.egress.client.release(address, response);
        }
        let load = self.dispatcher.borrow().load(self.clock.now());
        refuse(&mut self.sender, reason, NOT_READY_RETRY_AFTER, load).await
    }

    /// Counts the run if it is served, and returns the calls that runs make. Runs that fail often do so
    /// before they make a call, and a repeat is likely to be served.
    fn count_run(&self, status: u16) -> Option<Vec<CallRate>> {
        let mut rates = self.egress.sources.call_rates.borrow_mut();
        if status < 500 {
            rates.record_run(self.clock.now());
        }
        rates.rates()
    }

    /// Streams the response to the ingress. Time spent blocked by the ingress's backpressure does
    /// not count as service time.
    async fn forward(
        &mut self,
        mut response: BackendResponse,
        start: MonoTime,
        guard: SlotGuard,
    ) -> Result<(), PeerError> {
        let mut blocked = Duration::ZERO;
        response.head.load = self.dispatcher.borrow().load(self.clock.now());
        response.head.calls = self.count_run(response.head.status);
        self.sender
            .send(&EgressMessage::Head(response.head.clone()))
            .await?;
        loop {
            match self.next_chunk(&mut response).await {
                Ok(Some(chunk)) => blocked += self.send_chunk(&chunk).await?,
                Ok(None) => break,
                Err(cause) => {
                    if cause == FailureCause::ConnectionLost {
                        self.egress.observe_lost_connection(&self.dispatcher).await;
                    }
                    self.observe(outcome_of_failure(cause), start, blocked);
                    drop(guard);
                    return self.report_failure(SendFailure::may_have_run(cause)).await;
                }
            }
        }
        log::debug!(target: log_target::EGRESS, request = self.offer.request_name, status = response.head.status, bytes = response.received_bytes(); "Response forwarded to the ingress.");
        self.observe(outcome_of_status(response.head.status), start, blocked);
        self.update_probe_target(response.head.status);
        if let Some(digest) = self.offer.digest {
            let suspects = &self.egress.sources.suspects;
            suspects.report_completed(&self.offer.instance, digest);
        }
        drop(guard);
        let total_bytes = response.received_bytes();
        let address = self.dispatcher.borrow().local().address;
        self.egress.client.release(address, response);
        let load = self.dispatcher.borrow().load(self.clock.now());
        self.sender
            .send(&EgressMessage::End { total_bytes, load })
            .await?;
        self.sender.finish()
    }

    /// Waits for the next bytes of the body until the request's deadline.
    async fn next_chunk(
        &self,
        response: &mut BackendResponse,
    ) -> Result<Option<Bytes>, FailureCause> {
        let remaining = self.deadline.remaining(self.clock.now());
        actix_rt::time::timeout(remaining, response.next_chunk())
            .await
            .unwrap_or(Err(FailureCause::Timeout))
    }

    /// Sends a chunk to the ingress and returns how long that took.
    ///
    /// Gives up at the request's deadline, so that a caller that stops reading does not keep the
    /// slot forever.
    async fn send_chunk(&mut self, chunk: &Bytes) -> Result<Duration, PeerError> {
        let before = self.clock.now();
        let message = EgressMessage::Chunk(chunk.to_vec());
        let sending = self.sender.send(&message);
        actix_rt::time::timeout(self.deadline.remaining(before), sending)
            .await
            .unwrap_or(Err(PeerError::Timeout))?;
        Ok(self.clock.now().since(before))
    }

    async fn report_failure(&mut self, failure: SendFailure) -> Result<(), PeerError> {
        let load = self.dispatcher.borrow().load(self.clock.now());
        if failure.verdict == ExecutionVerdict::NotRun {
            return refuse(
                &mut self.sender,
                RefusalReason::ConnectFailed,
                NOT_READY_RETRY_AFTER,
                load,
            )
            .await;
        }
        let message = EgressMessage::Failed {
            verdict: failure.verdict,
            cause: failure.cause,
            end: self.report_of_end(failure.cause),
            load,
        };
        self.sender.send(&message).await?;
        self.sender.finish()
    }

    /// The report on the request, if its instance has ended.
    fn report_of_end(&self, cause: FailureCause) -> Option<RunReport> {
        let digest = self.offer.digest?;
        let has_lost = cause == FailureCause::ConnectionLost;
        has_lost.then(|| self.egress.sources.suspects.last_end(digest))?
    }

    /// Records the outcome of the request in the log, the metrics and the instance's health.
    fn observe(&self, outcome: SampleOutcome, start: MonoTime, blocked: Duration) {
        let total = self.clock.now().since(start);
        log::debug!(
            target: log_target::EGRESS,
            request = self.offer.request_name,
            instance:% = self.offer.instance,
            class:% = self.offer.class,
            outcome:?,
            took_ms = total.as_millis(),
            is_forced = self.offer.is_forced,
            health:? = self.dispatcher.borrow_mut().health_mut().published_state();
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

    /// Uses the request's target for probes if it was an idempotent `GET` that succeeded.
    fn update_probe_target(&self, status: u16) {
        if self.offer.method == "GET" && self.offer.idempotent && (200..300).contains(&status) {
            self.dispatcher
                .borrow_mut()
                .set_probe_target(&self.offer.target);
        }
    }
}

/// Reads the body of a response that counts for nothing, up to `MAX_NOT_RUN_BYTES`. Returns whether it
/// was read to its end, so that the connection can be used again.
async fn discard_body(response: &mut BackendResponse) -> bool {
    while response.received_bytes() <= MAX_NOT_RUN_BYTES {
        match response.next_chunk().await {
            Ok(Some(_)) => {}
            Ok(None) => return true,
            Err(_) => return false,
        }
    }
    false
}

/// Waits until the stream from the ingress has ended.
async fn wait_stream_end(receiver: &mut PeerReceiver) {
    while let Ok(Some(_)) = receiver.receive::<IngressMessage>().await {}
}
