//! Admission, queueing and health state of one backend instance.

use std::time::Duration;

use serde_json::json;
use tokio::sync::oneshot;

use crate::egress::{ColdGate, HealthPublication, RunningDigests, StatedLimit};
use crate::hash::FastMap;
use crate::health::{HealthChange, ServiceBaseline};
use crate::health::{InstanceHealth, ServiceSample};
use crate::instances::LocalInstance;
use crate::queue::{EnqueueOutcome, QueueAction, RequestKey, SlotQueue, UrgentRequest};
use crate::resource::ServiceSpec;
use crate::time::MonoTime;
use crate::units::Rate;
use crate::wire::{HealthState, InstancePhase};

/// Retry-after time of requests that were waiting for an instance that stops taking work.
const DRAINING_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Whether a request gets a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SlotDecision {
    /// The request holds a slot.
    Granted,
    /// The request cannot finish in time, or the instance stopped taking work. Holds the time
    /// after which to retry.
    Refused(Duration),
}

/// Response to a request for a slot.
pub enum SlotResponse {
    /// The decision is known now.
    Immediate(SlotDecision),
    /// The request waits; the channel delivers the decision.
    Pending(oneshot::Receiver<SlotDecision>),
}

/// Decides which requests are sent to one local instance, and when.
pub struct InstanceDispatcher {
    local: LocalInstance,
    pub(super) queue: SlotQueue,
    pub(super) health: InstanceHealth,
    /// Health state that was logged last.
    logged: HealthState,
    publication: HealthPublication,
    /// Trial request in flight to a suspect instance; at most one at a time.
    trial: Option<RequestKey>,
    pub(super) limit: StatedLimit,
    pub(super) cold: ColdGate,
    waiting: FastMap<RequestKey, oneshot::Sender<SlotDecision>>,
    /// Requests sent to the instance, with the time of sending.
    running: FastMap<RequestKey, MonoTime>,
    pub(super) digests: RunningDigests,
    probe_target: Option<String>,
}

impl InstanceDispatcher {
    /// Creates the dispatcher of an instance that was announced at `now` for the first time. `seed`
    /// is the random seed of its health state.
    #[must_use]
    pub fn open(local: LocalInstance, spec: &ServiceSpec, seed: u64, now: MonoTime) -> Self {
        let mut health = InstanceHealth::open(seed);
        health.set_recovery(spec.recovery);
        Self {
            queue: SlotQueue::open(local.slots, spec),
            health,
            logged: HealthState::Healthy,
            publication: HealthPublication::open(),
            trial: None,
            limit: StatedLimit::default(),
            cold: ColdGate::open(spec.cold_rate, now),
            local,
            waiting: FastMap::default(),
            running: FastMap::default(),
            digests: RunningDigests::default(),
            probe_target: None,
        }
    }

    /// The latest announcement of the instance.
    #[must_use]
    pub const fn local(&self) -> &LocalInstance {
        &self.local
    }

    /// Applies a new announcement and the service's present configuration; the one applied last stays if
    /// there is none. An instance that announces that it starts may be cold.
    ///
    /// If the instance takes no more work, the waiting requests are refused so that they can go
    /// to other instances.
    pub fn apply_announcement(
        &mut self,
        local: LocalInstance,
        spec: Option<&ServiceSpec>,
        now: MonoTime,
    ) {
        let phase = std::mem::replace(&mut self.local, local).phase;
        if phase != self.local.phase && self.local.phase == InstancePhase::Starting {
            self.cold.forget(now);
        }
        if let Some(spec) = spec {
            self.queue.configure(self.local.slots, spec);
            self.health.set_recovery(spec.recovery);
        }
        if !self.is_ready() {
            self.refuse_waiting();
        }
    }

    /// Called once when the availability zone is evacuated. The waiting requests are refused so that
    /// they can go to other zones; running ones end.
    pub fn zone_evacuated(&mut self, now: MonoTime) -> Option<HealthChange> {
        self.refuse_waiting();
        match self.cold.has_rate() {
            true => None,
            false => self.health.on_zone_evacuated(now),
        }
    }

    /// Called once when the evacuation of the availability zone ends.
    ///
    /// The instance may have become cold without requests, so it counts as cold until it says otherwise.
    /// Where its service sets no rate for cold instances, it takes its full load again by the stages of
    /// the ramp.
    pub fn zone_returned(&mut self, now: MonoTime) -> Option<HealthChange> {
        self.change_cold(now, |cold| cold.forget(now));
        match self.health.is_zone_out() {
            true => self.health.on_zone_returned(now),
            false => None,
        }
    }

    /// Whether the instance's announced phase allows new requests.
    #[must_use]
    pub const fn is_ready(&self) -> bool {
        matches!(self.local.phase, InstancePhase::Ready)
    }

    /// Whether the instance's health allows a new request; `is_forced` overrides it.
    #[must_use]
    pub fn admits(&self, idempotent: bool, is_forced: bool, now: MonoTime) -> bool {
        let health = self.health.published_state();
        // A suspect instance gets one trial request at a time, so that few requests fail if it
        // has not recovered.
        let has_room = health != HealthState::Suspect
            || (self.trial.is_none() && self.health.allows_trial(now));
        is_forced || (health.accepts(idempotent) && has_room)
    }

    /// Whether a request that was admitted earlier may start now: not while the instance fails requests
    /// early, unless it is the trial or forced.
    #[must_use]
    pub fn admits_start(&self, key: RequestKey, is_forced: bool) -> bool {
        is_forced || !self.health.fails_early() || self.trial == Some(key)
    }

    /// Takes a request from the limit that the instance states.
    ///
    /// # Errors
    /// The time after which to offer the request again.
    pub fn take_limit(&mut self, now: MonoTime) -> Result<(), Duration> {
        self.limit.take(now)
    }

    /// Takes in the limit that a response to a request sent at `sent` states. Returns whether the
    /// limit has changed. When one begins, the waiting requests are refused so that they can go to
    /// other instances.
    pub fn observe_limit(&mut self, stated: Option<Rate>, sent: MonoTime, now: MonoTime) -> bool {
        let was_limited = self.limit.rate().is_some();
        let has_changed = self.limit.observe(stated, sent, now);
        if !was_limited && self.limit.rate().is_some() {
            self.refuse_waiting();
        }
        has_changed
    }

    /// Makes the request the trial of a suspect instance, unless there is one already.
    pub fn begin_trial(&mut self, key: RequestKey) {
        if self.health.published_state() == HealthState::Suspect && self.trial.is_none() {
            self.trial = Some(key);
        }
    }

    /// The health state logged last and the present one, if they differ. The present one counts as
    /// logged from now on.
    pub fn take_unlogged_health(&mut self) -> Option<(HealthState, HealthState)> {
        let state = self.health.published_state();
        let before = std::mem::replace(&mut self.logged, state);
        (before != state).then_some((before, state))
    }

    /// Whether the health that the fleet should know has changed. A turn for the worse must have
    /// lasted for `hold`.
    pub fn advance_publication(&mut self, hold: Duration, now: MonoTime) -> bool {
        let state = self.health.published_state();
        self.publication.advance(state, hold, now)
    }

    /// The health that the fleet should know.
    #[must_use]
    pub const fn fleet_health(&self) -> HealthState {
        self.publication.state()
    }

    /// Asks for a slot for a request.
    pub fn request_slot(&mut self, request: UrgentRequest, now: MonoTime) -> SlotResponse {
        let key = request.request.key;
        let (outcome, displaced) = self.queue.enqueue(request, now);
        self.apply_actions(displaced);
        match outcome {
            EnqueueOutcome::Start => SlotResponse::Immediate(SlotDecision::Granted),
            EnqueueOutcome::Refuse { retry_after } => {
                SlotResponse::Immediate(SlotDecision::Refused(retry_after))
            }
            EnqueueOutcome::Wait => {
                let (sender, receiver) = oneshot::channel();
                self.waiting.insert(key, sender);
                SlotResponse::Pending(receiver)
            }
        }
    }

    /// The requests that wait for a slot.
    #[must_use]
    pub const fn queue(&self) -> &SlotQueue {
        &self.queue
    }

    /// Records that a request was sent to the instance at `now`.
    pub fn mark_sent(&mut self, key: RequestKey, now: MonoTime) {
        self.running.insert(key, now);
    }

    /// Frees the slot of a request that was sent and has ended.
    pub fn finish(&mut self, key: RequestKey, now: MonoTime) {
        self.end_trial(key);
        self.digests.finish(key);
        let started = self.running.remove(&key).unwrap_or(now);
        let actions = self.queue.finish(key, now.since(started), now);
        self.apply_actions(actions);
    }

    /// Frees the slot or queue place of a request that was not sent.
    pub fn cancel(&mut self, key: RequestKey, now: MonoTime) {
        self.limit.give_back();
        self.cold.release(key);
        self.end_trial(key);
        self.waiting.remove(&key);
        let actions = self.queue.cancel(key, now);
        self.apply_actions(actions);
    }

    /// Updates the instance's health with the outcome of a request.
    ///
    /// When the instance begins to fail requests early, the waiting ones are refused so that they can go
    /// to other instances: it would work off its whole queue in moments.
    pub fn observe(
        &mut self,
        sample: &ServiceSample,
        baseline: &ServiceBaseline,
        now: MonoTime,
    ) -> Option<HealthChange> {
        let failed_early = self.health.fails_early();
        let change = self.health.observe(sample, baseline, now);
        if !failed_early && self.health.fails_early() {
            self.refuse_waiting();
        }
        change
    }

    /// Updates the queue and the health for the passage of time. Call it periodically.
    pub fn tick(&mut self, baseline: &ServiceBaseline, now: MonoTime) -> Option<HealthChange> {
        let actions = self.queue.tick(now);
        self.apply_actions(actions);
        self.end_passed_trial(now);
        self.health
            .observe_running(self.running.values().copied(), now);
        let oldest = self.queue.oldest_running_age(now);
        self.health.tick(baseline, now, oldest)
    }

    /// Mutable access to the instance's health.
    pub const fn health_mut(&mut self) -> &mut InstanceHealth {
        &mut self.health
    }

    /// Stores the target of a successful idempotent `GET`, for use in probes.
    pub fn set_probe_target(&mut self, target: &str) {
        if self.probe_target.as_deref() != Some(target) {
            self.probe_target = Some(target.to_owned());
        }
    }

    /// Path and query to probe the instance with: the stored target, or `/` without one.
    #[must_use]
    pub fn probe_target(&self) -> &str {
        self.probe_target.as_deref().unwrap_or("/")
    }

    /// Whether no request is waiting or running.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        let load = self.queue.load();
        load.in_use == 0 && load.queued == 0
    }

    /// State for the diagnostic dump.
    #[must_use]
    pub fn dump(&self) -> serde_json::Value {
        json!({
            "instance": self.local.instance,
            "phase": self.local.phase,
            "running": self.running.len(),
            "limit": self.limit,
            "cold": self.cold,
            "queue": self.queue.dump(),
            "health": self.health.dump(),
        })
    }

    /// Lets another trial begin once the present one has run for longer than the failures took.
    fn end_passed_trial(&mut self, now: MonoTime) {
        let Some(pass_time) = self.health.trial_pass_time() else {
            return;
        };
        let sent = self.trial.and_then(|trial| self.running.get(&trial));
        if sent.is_some_and(|sent| now.since(*sent) > pass_time) {
            self.trial = None;
        }
    }

    fn end_trial(&mut self, key: RequestKey) {
        if self.trial == Some(key) {
            self.trial = None;
        }
    }

    /// Refuses all waiting requests. The [`SlotGuard`](crate::egress::SlotGuard) of each then
    /// removes it from the queue.
    pub(super) fn refuse_waiting(&mut self) {
        for (_, sender) in self.waiting.drain() {
            let _ = sender.send(SlotDecision::Refused(DRAINING_RETRY_AFTER));
        }
    }

    /// Delivers the queue's decisions to the waiting requests.
    fn apply_actions(&mut self, actions: Vec<QueueAction>) {
        for action in actions {
            let (key, decision) = match action {
                QueueAction::Start(key) => (key, SlotDecision::Granted),
                QueueAction::Refuse { key, retry_after } => {
                    (key, SlotDecision::Refused(retry_after))
                }
            };
            if let Some(sender) = self.waiting.remove(&key) {
                // If the receiver was dropped, the request's slot guard frees the slot.
                let _ = sender.send(decision);
            }
        }
    }
}
