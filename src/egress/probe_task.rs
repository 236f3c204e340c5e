//! One probe of an ejected instance.

use std::time::Duration;

use crate::egress::egress_handle::SharedDispatcher;
use crate::egress::{BackendResponse, EgressHandle, SendFailure};
use crate::health::SampleOutcome;
use crate::ids::{AccountId, BootId, RequestId, RouteId};
use crate::resource::{Priority, RequestClass};
use crate::wire::{FailureCause, RequestOffer};

const PROBE_TIMEOUT: Duration = Duration::from_secs(1);
const PROBE_NAME: &str = "probe";

/// Repeats an idempotent request that the instance answered well before, and judges the answer.
pub(crate) async fn run(egress: EgressHandle, dispatcher: SharedDispatcher) {
    let Some(offer) = probe_offer(&dispatcher) else {
        return;
    };
    let address = dispatcher.borrow().local().address;
    let start = egress.sources.clock.now();
    let sending = async {
        let answer = egress
            .client
            .send(address, &offer, start.after(PROBE_TIMEOUT))
            .await?;
        read_whole(answer).await
    };
    let outcome = match actix_rt::time::timeout(PROBE_TIMEOUT, sending).await {
        Ok(Ok(status)) => outcome_of_status(status),
        Ok(Err(failure)) => outcome_of_failure(failure.cause),
        Err(_) => SampleOutcome::Stalled,
    };
    let now = egress.sources.clock.now();
    let change = dispatcher
        .borrow_mut()
        .health()
        .probe_done(outcome, now.since(start), now);
    egress.tell_health(&dispatcher, change, outcome);
}

/// What an answer with `status` says about the instance.
pub(crate) const fn outcome_of_status(status: u16) -> SampleOutcome {
    match status {
        429 | 503 => SampleOutcome::Shed,
        500..=599 => SampleOutcome::Failed,
        _ => SampleOutcome::Good,
    }
}

/// What a lost answer says about the instance.
pub(crate) const fn outcome_of_failure(cause: FailureCause) -> SampleOutcome {
    match cause {
        FailureCause::ConnectionLost => SampleOutcome::Failed,
        FailureCause::Timeout => SampleOutcome::Stalled,
        FailureCause::BadAnswer => SampleOutcome::Wrong,
    }
}

async fn read_whole(mut answer: BackendResponse) -> Result<u16, SendFailure> {
    loop {
        match answer.next_chunk().await {
            Ok(Some(_)) => {}
            Ok(None) => return Ok(answer.head.status),
            Err(cause) => {
                return Err(SendFailure::may_have_run(cause));
            }
        }
    }
}

fn probe_offer(dispatcher: &SharedDispatcher) -> Option<RequestOffer> {
    let dispatcher = dispatcher.borrow();
    Some(RequestOffer {
        boot: BootId(0),
        request: RequestId(fastrand::u64(..)),
        instance: dispatcher.local().instance.clone(),
        service: dispatcher.local().service.clone(),
        route: PROBE_NAME.parse::<RouteId>().ok()?,
        account: PROBE_NAME.parse::<AccountId>().ok()?,
        holder: None,
        caller: None,
        name: format!("{PROBE_NAME}-{}", fastrand::u64(..)),
        host: None,
        priority: Priority::default(),
        is_forced: true,
        class: RequestClass::InternalCheck,
        idempotent: true,
        may_wait: false,
        remaining_micros: 0,
        method: "GET".to_owned(),
        target: dispatcher.probe_target().to_owned(),
        headers: Vec::new(),
        body: Vec::new(),
    })
}
