//! Tells an instance's health of a request that takes far longer than usual while it is still running.

use std::cell::Cell;
use std::convert::Infallible;
use std::future::pending;

use crate::egress::EgressHandle;
use crate::egress::egress_handle::SharedDispatcher;
use crate::health::{SampleOutcome, ServiceSample};
use crate::logs::log_target;
use crate::resource::RequestClass;
use crate::time::MonoTime;

/// Watches one running request. The request itself goes on; whoever waits for it decides how long.
pub(super) struct OverdueWatch<'a> {
    pub(super) egress: &'a EgressHandle,
    pub(super) dispatcher: SharedDispatcher,
    pub(super) class: RequestClass,
    /// When the request was sent to the instance.
    pub(super) start: MonoTime,
    /// Whether the health of the instance has been told.
    pub(super) is_told: Cell<bool>,
}

impl OverdueWatch<'_> {
    /// Counts the request as stalled once it is overdue; never returns.
    pub(super) async fn run(&self) -> Infallible {
        let Some(limit) = self.egress.overdue_time(&self.dispatcher, self.class) else {
            return pending().await;
        };
        let clock = self.egress.sources.clock;
        let overdue_at = self.start.after(limit);
        actix_rt::time::sleep(overdue_at.remaining(clock.now())).await;
        self.is_told.set(true);
        log::debug!(
            target: log_target::EGRESS,
            instance:% = self.dispatcher.borrow().local().instance,
            class:% = self.class,
            limit_ms = limit.as_millis();
            "Request is overdue at its instance."
        );
        let sample = ServiceSample {
            outcome: SampleOutcome::Stalled,
            service_time: clock.now().since(self.start),
            class: self.class,
        };
        self.egress.observe(&self.dispatcher, &sample);
        pending().await
    }
}
