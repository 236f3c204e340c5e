//! Admission of requests to an instance that is cold or may be.

use std::time::Duration;

use crate::egress::{ColdGate, InstanceDispatcher};
use crate::queue::RequestKey;
use crate::time::MonoTime;
use crate::wire::InstanceLoad;

impl InstanceDispatcher {
    /// The gate that limits the requests while the instance is cold.
    #[must_use]
    pub const fn cold(&self) -> &ColdGate {
        &self.cold
    }

    /// Applies `change` to the cold gate. If that closes the gate, the waiting requests are refused so
    /// that they can go to other instances.
    pub fn change_cold(&mut self, now: MonoTime, change: impl FnOnce(&mut ColdGate)) {
        let was_open = self.cold.rate(now).is_none();
        change(&mut self.cold);
        if was_open && self.cold.rate(now).is_some() {
            self.refuse_waiting();
        }
    }

    /// Claims a token of the cold gate for a request that is offered and was counted by
    /// [`Self::take_limit`].
    ///
    /// # Errors
    /// The time after which to offer the request again.
    pub fn claim_cold(&mut self, key: RequestKey, now: MonoTime) -> Result<(), Duration> {
        let claimed = self.cold.claim(key, now);
        if claimed.is_err() {
            self.limit.give_back();
        }
        claimed
    }

    /// Takes a token of the cold gate for a request that is about to be sent.
    ///
    /// # Errors
    /// The time after which to offer the request again.
    pub fn pass_cold(&mut self, key: RequestKey, now: MonoTime) -> Result<(), Duration> {
        self.cold.pass(key, now)
    }

    /// Begins a probe of the instance, if its health asks for one and the cold gate lets it through.
    pub fn begin_probe(&mut self, now: MonoTime) -> bool {
        let may_pass = self.cold.next_token(now).is_zero();
        may_pass && self.health.begin_probe(now) && self.cold.take_probe(now)
    }

    /// Number of running and waiting requests, and when the instance takes another while it is cold.
    #[must_use]
    pub fn load(&self, now: MonoTime) -> InstanceLoad {
        let wait = self.cold.next_token(now).as_micros();
        InstanceLoad {
            cold_wait_micros: u32::try_from(wait).unwrap_or(u32::MAX),
            ..self.queue.load()
        }
    }
}
