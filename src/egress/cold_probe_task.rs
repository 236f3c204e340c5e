//! Asks an instance of unknown state whether it is cold.

use crate::egress::egress_handle::SharedDispatcher;
use crate::egress::probe_task::{PROBE_TIMEOUT, probe_offer, read_to_end};
use crate::egress::{EgressHandle, SendFailure};
use crate::logs::log_target;

/// Gets the health path and takes in what the response says about coldness.
pub(super) async fn run(egress: EgressHandle, dispatcher: SharedDispatcher, path: String) {
    let Some(offer) = probe_offer(&dispatcher, &path) else {
        return;
    };
    let address = dispatcher.borrow().local().address;
    let sent = egress.sources.clock.now();
    let sending = async {
        let deadline = sent.after(PROBE_TIMEOUT);
        let response = egress.client.send(address, &offer, deadline).await?;
        let cold = response.cold;
        read_to_end(response).await?;
        Ok::<_, SendFailure>(cold)
    };
    let result = actix_rt::time::timeout(PROBE_TIMEOUT, sending).await;
    let outcome = match result {
        Ok(Ok(Some(left))) => {
            egress.observe_cold_response(&dispatcher, left, sent);
            Ok(Some(left))
        }
        Ok(Ok(None)) => {
            dispatcher.borrow_mut().cold.end_probes();
            Ok(None)
        }
        Ok(Err(failure)) => Err(Some(failure)),
        Err(_) => Err(None),
    };
    log::info!(
        target: log_target::EGRESS,
        instance:% = dispatcher.borrow().local().instance,
        path,
        outcome:?;
        "Instance asked whether it is cold."
    );
}
