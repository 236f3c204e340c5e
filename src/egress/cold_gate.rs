//! Limits the requests to an instance that is cold.

use std::time::Duration;

use serde::Serialize;

use crate::egress::request_bucket::RequestBucket;
use crate::egress::{ColdState, ColdStatement, Coldness};
use crate::instances::AnnounceOrder;
use crate::queue::RequestKey;
use crate::time::{Deadline, MonoTime};
use crate::units::Rate;

/// Time in which unused tokens add up. Short, because a cold instance bears no bursts.
const BURST_TIME: Duration = Duration::from_millis(500);
/// Most tokens that add up at any rate.
const MAX_BURST: f64 = 4.0;
/// Most probes of an instance for each event that makes its state unknown.
const MAX_PROBES: u32 = 3;
/// Time between two probes. Longer than a probe may take.
const PROBE_INTERVAL: Duration = Duration::from_millis(1_500);

/// Gate before an instance that lets requests through at the service's cold rate while the instance
/// is cold or may be, and all of them otherwise.
///
/// A request claims a token when it is offered and takes it when it is sent, so that the rate bounds
/// what reaches the instance, however long requests wait for a slot. The gate begins empty whenever
/// the instance turns cold.
#[derive(Debug, Clone, Serialize)]
pub struct ColdGate {
    state: ColdState,
    /// Requests per second that a cold instance takes; none if the service sets no bound.
    rate: Option<Rate>,
    /// The bucket; none while the gate is open.
    bucket: Option<RequestBucket>,
    /// Requests that were offered and claim a token.
    #[serde(skip)]
    claims: Vec<RequestKey>,
    /// Requests refused since the gate was created.
    refused: u64,
    /// Probes since the state became unknown.
    probes: u32,
    /// When the next probe may be sent.
    next_probe: Deadline,
}

impl ColdGate {
    /// Creates the gate of an instance that was announced at `now` for the first time. Its state is
    /// unknown.
    #[must_use]
    pub fn open(rate: Option<Rate>, now: MonoTime) -> Self {
        let mut gate = Self {
            state: ColdState::open(now),
            rate,
            bucket: None,
            claims: Vec::new(),
            refused: 0,
            probes: 0,
            next_probe: Deadline::at(now),
        };
        gate.advance(now);
        gate
    }

    /// Changes the rate at which a cold instance takes requests.
    pub fn set_rate(&mut self, rate: Option<Rate>, now: MonoTime) {
        self.rate = rate;
        self.advance(now);
    }

    /// Whether the service bounds the requests to a cold instance.
    #[must_use]
    pub const fn has_rate(&self) -> bool {
        self.rate.is_some()
    }

    /// Whether the instance is cold at `now`, as far as is known.
    #[must_use]
    pub fn coldness(&self, now: MonoTime) -> Coldness {
        self.state.coldness(now)
    }

    /// The rate that bounds the requests at `now`; none while the gate is open.
    #[must_use]
    pub fn rate(&self, now: MonoTime) -> Option<Rate> {
        self.rate.filter(|_| self.coldness(now) != Coldness::Warm)
    }

    /// Takes in an announcement that arrived at `now`: its position, if it has one, and what it states.
    pub fn observe_announcement(
        &mut self,
        left: Option<Duration>,
        order: Option<AnnounceOrder>,
        now: MonoTime,
    ) {
        if let Some(order) = order
            && self.state.observe_order(order, now)
        {
            self.clear();
        }
        if let Some(left) = left {
            let statement = ColdStatement::of_announcement(left, order, now);
            self.state.observe(&statement, now);
        }
        self.advance(now);
    }

    /// Takes in what the response to a request that was sent at `sent` states.
    pub fn observe_response(&mut self, left: Duration, sent: MonoTime, now: MonoTime) {
        let statement = ColdStatement::of_response(left, sent);
        self.state.observe(&statement, now);
        self.advance(now);
    }

    /// Makes the state unknown and the bucket empty, because of an event after which the instance may
    /// be cold.
    pub fn forget(&mut self, now: MonoTime) {
        self.state.forget(now);
        self.clear();
        self.advance(now);
    }

    /// Takes in that the instance's process has ended: the next one may be cold.
    pub fn observe_end(&mut self, now: MonoTime) {
        match self.coldness(now) {
            Coldness::Unknown => self.state.forget(now),
            Coldness::Warm | Coldness::Cold(_) => self.forget(now),
        }
    }

    /// Claims a token for a request that is offered.
    ///
    /// # Errors
    /// The time after which to offer the request again.
    pub fn claim(&mut self, key: RequestKey, now: MonoTime) -> Result<(), Duration> {
        self.advance(now);
        let Some(bucket) = &mut self.bucket else {
            return Ok(());
        };
        if self.claims.contains(&key) {
            return Ok(());
        }
        let checked = bucket.check(self.claims.len(), now);
        match checked {
            Ok(()) => self.claims.push(key),
            Err(_) => self.refused += 1,
        }
        checked
    }

    /// Takes the token of a request that is about to be sent. One that was offered before the instance
    /// turned cold has no claim and needs a token that no other request claims.
    ///
    /// # Errors
    /// The time after which to offer the request again.
    pub fn pass(&mut self, key: RequestKey, now: MonoTime) -> Result<(), Duration> {
        self.advance(now);
        self.release(key);
        let Some(bucket) = &mut self.bucket else {
            return Ok(());
        };
        let taken = bucket.take(self.claims.len(), now);
        self.refused += u64::from(taken.is_err());
        taken
    }

    /// Drops the claim of a request that is not sent.
    pub fn release(&mut self, key: RequestKey) {
        self.claims.retain(|claim| *claim != key);
    }

    /// Begins a probe that asks the instance, whose state is unknown, whether it is cold. Takes a token.
    /// Returns whether to send the probe.
    pub fn begin_probe(&mut self, now: MonoTime) -> bool {
        let is_wanted = self.coldness(now) == Coldness::Unknown
            && self.rate.is_some()
            && self.probes < MAX_PROBES
            && self.next_probe.has_passed(now)
            && self.next_token(now).is_zero();
        if !is_wanted || !self.take_probe(now) {
            return false;
        }
        self.probes += 1;
        self.next_probe = now.after(PROBE_INTERVAL);
        true
    }

    /// Ends the probes until the state becomes unknown again, because the instance's responses do not
    /// speak of coldness.
    pub const fn end_probes(&mut self) {
        self.probes = MAX_PROBES;
    }

    /// Takes a token for a probe of the instance. Returns whether there was one.
    pub fn take_probe(&mut self, now: MonoTime) -> bool {
        self.advance(now);
        let Some(bucket) = &mut self.bucket else {
            return true;
        };
        bucket.take(self.claims.len(), now).is_ok()
    }

    /// Time until a request offered at `now` or later would be let through.
    #[must_use]
    pub fn next_token(&self, now: MonoTime) -> Duration {
        match (&self.bucket, self.rate(now)) {
            (Some(bucket), Some(_)) => bucket.next_token(self.claims.len(), now),
            (None, Some(rate)) => RequestBucket::open(rate, 1.0, now).next_token(0, now),
            (_, None) => Duration::ZERO,
        }
    }

    /// Requests refused since the gate was created.
    #[must_use]
    pub const fn refused(&self) -> u64 {
        self.refused
    }

    fn clear(&mut self) {
        self.bucket = None;
        self.claims.clear();
        self.probes = 0;
    }

    /// Opens or closes the gate as the state at `now` demands.
    fn advance(&mut self, now: MonoTime) {
        match (self.rate(now), &mut self.bucket) {
            (None, _) => self.clear(),
            (Some(rate), None) => self.bucket = Some(RequestBucket::open(rate, burst(rate), now)),
            (Some(rate), Some(bucket)) if bucket.rate() != rate => {
                bucket.set_rate(rate, burst(rate), now);
            }
            (Some(_), Some(_)) => {}
        }
    }
}

/// Most tokens of a bucket with `rate`.
fn burst(rate: Rate) -> f64 {
    rate.over_span(BURST_TIME).min(MAX_BURST)
}
