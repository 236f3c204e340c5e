//! Active health probe of an ejected instance.

use std::time::Duration;

use crate::egress::egress_handle::SharedDispatcher;
use crate::egress::{BackendResponse, EgressHandle, SendFailure};
use crate::health::SampleOutcome;
use crate::ids::{AccountId, BootId, RequestId, RouteId};
use crate::resource::{Priority, RequestClass};
use crate::time::MonoTime;
use crate::wire::{FailureCause, RequestOffer};

pub(super) const PROBE_TIMEOUT: Duration = Duration::from_secs(1);
/// Route, account and request name prefix of probes.
const PROBE_NAME: &str = "probe";

/// Starts the probes of an instance that are due at `now`.
pub(super) fn spawn_due(egress: &EgressHandle, dispatcher: &SharedDispatcher, now: MonoTime) {
    egress.probe_coldness(dispatcher, now);
    if dispatcher.borrow_mut().begin_probe(now) {
        actix_rt::spawn(run(egress.clone(), SharedDispatcher::clone(dispatcher)));
    }
}

/// Sends one probe and updates the instance's health with its outcome.
///
/// The probe repeats an idempotent request that the instance answered successfully before.
async fn run(egress: EgressHandle, dispatcher: SharedDispatcher) {
    let target = dispatcher.borrow().probe_target().to_owned();
    let Some(offer) = probe_offer(&dispatcher, &target) else {
        return;
    };
    let address = dispatcher.borrow().local().address;
    let start = egress.sources.clock.now();
    let sending = async {
        let response = egress
            .client
            .probe(address, &offer, start.after(PROBE_TIMEOUT))
            .await?;
        if let Some(left) = response.cold
            && !response.is_from_other_instance()
        {
            egress.observe_cold_response(&dispatcher, left, start);
        }
        read_to_end(response).await
    };
    let outcome = match actix_rt::time::timeout(PROBE_TIMEOUT, sending).await {
        Ok(Ok(status)) => outcome_of_status(status),
        Ok(Err(failure)) => outcome_of_failure(failure.cause),
        Err(_) => SampleOutcome::Stalled,
    };
    let now = egress.sources.clock.now();
    let change = dispatcher
        .borrow_mut()
        .health_mut()
        .on_probe(outcome, now.since(start), now);
    egress.publish_health_change(&dispatcher, change, outcome);
}

/// Health outcome of a complete response with `status`.
pub(crate) const fn outcome_of_status(status: u16) -> SampleOutcome {
    match status {
        429 | 503 => SampleOutcome::Shed,
        500..=599 => SampleOutcome::Failed,
        _ => SampleOutcome::Good,
    }
}

/// Health outcome of a request without a complete response.
pub(crate) const fn outcome_of_failure(cause: FailureCause) -> SampleOutcome {
    match cause {
        FailureCause::ConnectionLost => SampleOutcome::Failed,
        FailureCause::Timeout => SampleOutcome::Stalled,
        FailureCause::BadResponse => SampleOutcome::Wrong,
    }
}

/// Discards the body and returns the status.
pub(super) async fn read_to_end(mut response: BackendResponse) -> Result<u16, SendFailure> {
    loop {
        match response.next_chunk().await {
            Ok(Some(_)) => {}
            Ok(None) => return Ok(response.head.status),
            Err(cause) => {
                return Err(SendFailure::may_have_run(cause));
            }
        }
    }
}

/// A probe that gets `target`.
pub(super) fn probe_offer(dispatcher: &SharedDispatcher, target: &str) -> Option<RequestOffer> {
    let dispatcher = dispatcher.borrow();
    Some(RequestOffer {
        goal_micros: None,
        account_weight: 1,
        boot: BootId(0),
        request: RequestId(fastrand::u64(..)),
        instance: dispatcher.local().instance.clone(),
        service: dispatcher.local().service.clone(),
        route: PROBE_NAME.parse::<RouteId>().ok()?,
        account: PROBE_NAME.parse::<AccountId>().ok()?,
        client_account: None,
        caller: None,
        digest: None,
        request_name: format!("{PROBE_NAME}-{}", fastrand::u64(..)),
        host: None,
        priority: Priority::default(),
        is_forced: true,
        class: RequestClass::InternalCheck,
        idempotent: true,
        may_wait: false,
        max_wait_micros: u64::MAX,
        remaining_micros: 0,
        method: "GET".to_owned(),
        target: target.to_owned(),
        headers: Vec::new(),
        body: Vec::new(),
    })
}
