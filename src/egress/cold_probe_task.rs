//! Asks an instance of unknown state whether it is cold.

use crate::egress::egress_handle::SharedDispatcher;
use crate::egress::probe_task::{PROBE_TIMEOUT, probe_offer, read_to_end};
use crate::egress::{EgressHandle, SendFailure};
use crate::logs::log_target;
use crate::wire::FailureCause;

/// Gets the health path and takes in what the response says about coldness.
pub(super) async fn run(egress: EgressHandle, dispatcher: SharedDispatcher, path: String) {
    let Some(offer) = probe_offer(&dispatcher, &path) else {
        return;
    };
    let address = dispatcher.borrow().local().address;
    let sent = egress.sources.clock.now();
    let sending = async {
        let deadline = sent.after(PROBE_TIMEOUT);
        let response = egress.client.probe(address, &offer, deadline).await?;
        let is_own = !response.is_from_other_instance();
        let cold = response.cold;
        read_to_end(response).await?;
        Ok::<_, SendFailure>((is_own, cold))
    };
    let result = actix_rt::time::timeout(PROBE_TIMEOUT, sending).await;
    let outcome = match result {
        Ok(Ok((true, Some(left)))) => {
            egress.observe_cold_response(&dispatcher, left, sent);
            Ok(Some(left))
        }
        Ok(Ok((true, None))) => {
            dispatcher.borrow_mut().cold.end_probes();
            Ok(None)
        }
        Ok(Ok((false, _))) => Err("another instance answered".to_owned()),
        Ok(Err(failure)) => Err(failure.cause.to_string()),
        Err(_) => Err(FailureCause::Timeout.to_string()),
    };
    log::info!(
        target: log_target::EGRESS,
        instance:% = dispatcher.borrow().local().instance,
        path,
        outcome:?;
        "Instance asked whether it is cold."
    );
}
