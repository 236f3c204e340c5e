//! The only way to one instance: its queue, its health and the requests under way.

use std::time::Duration;

use serde_json::json;
use tokio::sync::oneshot;

use crate::hash::FastMap;
use crate::health::{HealthChange, ServiceBaseline};
use crate::health::{InstanceHealth, ServiceSample};
use crate::instances::LocalInstance;
use crate::queue::{EnqueueOutcome, InstanceQueue, QueueAction, QueuedRequest, RequestKey};
use crate::resource::ServiceSpec;
use crate::time::MonoTime;
use crate::wire::{HealthState, InstancePhase, LoadFigure};

/// When to come back to a service of which an instance leaves.
const LEAVING_RETRY: Duration = Duration::from_millis(100);

/// What the queue tells a request that waits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SlotDecision {
    /// It holds a slot.
    Granted,
    /// It cannot run in time.
    Refused(Duration),
}

/// How a request enters the dispatcher.
pub enum SlotResponse {
    /// The decision is known at once.
    Immediate(SlotDecision),
    /// The decision comes later.
    Pending(oneshot::Receiver<SlotDecision>),
}

/// The state of one instance beside the daemon.
pub struct InstanceDispatcher {
    local: LocalInstance,
    queue: InstanceQueue,
    health: InstanceHealth,
    /// The state told last.
    published: HealthState,
    /// The request that finds out how the instance is.
    trial: Option<RequestKey>,
    waiting: FastMap<RequestKey, oneshot::Sender<SlotDecision>>,
    running: FastMap<RequestKey, MonoTime>,
    probe_target: Option<String>,
}

impl InstanceDispatcher {
    /// The dispatcher of an instance that was just announced.
    #[must_use]
    pub fn open(local: LocalInstance, spec: &ServiceSpec, seed: u64) -> Self {
        let mut health = InstanceHealth::open(seed);
        health.set_recovery(spec.recovery);
        let mut queue = InstanceQueue::open(local.slots, spec.weights);
        queue.reserve_check_slot(spec.check_slot);
        Self {
            queue,
            health,
            published: HealthState::Healthy,
            trial: None,
            local,
            waiting: FastMap::default(),
            running: FastMap::default(),
            probe_target: None,
        }
    }

    /// What the instance announced last.
    #[must_use]
    pub const fn local(&self) -> &LocalInstance {
        &self.local
    }

    /// Takes a new announcement; requests that wait before an instance that leaves are refused
    /// and may go elsewhere.
    pub fn apply_announcement(&mut self, local: LocalInstance, spec: &ServiceSpec) {
        self.queue.resize(local.slots, spec.weights);
        self.queue.reserve_check_slot(spec.check_slot);
        self.health.set_recovery(spec.recovery);
        self.local = local;
        if !self.takes_work() {
            self.refuse_waiting();
        }
    }

    /// Whether new requests may enter.
    #[must_use]
    pub const fn takes_work(&self) -> bool {
        matches!(self.local.phase, InstancePhase::Ready)
    }

    /// Whether the instance's health lets a request in.
    #[must_use]
    pub fn admits(&self, idempotent: bool, is_forced: bool, now: MonoTime) -> bool {
        let health = self.health.published_state();
        // One at a time finds out whether the instance has recovered, and spoils little if not.
        let has_room = health != HealthState::Suspect
            || (self.trial.is_none() && self.health.allows_trial(now));
        is_forced || (health.takes(idempotent) && has_room)
    }

    /// Notes that the request of `key` finds out how the instance is, if that is in doubt.
    pub fn begin_trial(&mut self, key: RequestKey) {
        if self.health.published_state() == HealthState::Suspect && self.trial.is_none() {
            self.trial = Some(key);
        }
    }

    /// The health to tell the fleet, if it is not what was told last.
    pub fn health_news(&mut self) -> Option<(HealthState, HealthState)> {
        let state = self.health.published_state();
        let before = std::mem::replace(&mut self.published, state);
        (before != state).then_some((before, state))
    }

    /// A request asks for a slot.
    pub fn request_slot(&mut self, request: QueuedRequest, now: MonoTime) -> SlotResponse {
        let key = request.key;
        match self.queue.enqueue(request, now) {
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

    /// A request was sent to the instance.
    pub fn sent(&mut self, key: RequestKey, now: MonoTime) {
        self.running.insert(key, now);
    }

    /// A request that was sent is over.
    pub fn finish(&mut self, key: RequestKey, now: MonoTime) {
        self.end_trial(key);
        let started = self.running.remove(&key).unwrap_or(now);
        let actions = self.queue.finish(key, now.since(started), now);
        self.carry_out(actions);
    }

    /// A request leaves without having been sent.
    pub fn leave(&mut self, key: RequestKey, now: MonoTime) {
        self.end_trial(key);
        self.waiting.remove(&key);
        let actions = self.queue.cancel(key, now);
        self.carry_out(actions);
    }

    /// Learns from a request that is over.
    pub fn observe(
        &mut self,
        sample: &ServiceSample,
        baseline: &ServiceBaseline,
        now: MonoTime,
    ) -> Option<HealthChange> {
        self.health.observe(sample, baseline, now)
    }

    /// Time passed.
    pub fn tick(&mut self, baseline: &ServiceBaseline, now: MonoTime) -> Option<HealthChange> {
        let actions = self.queue.tick(now);
        self.carry_out(actions);
        let oldest = self.queue.oldest_running_age(now);
        self.health.tick(baseline, now, oldest)
    }

    /// The instance's health.
    pub const fn health(&mut self) -> &mut InstanceHealth {
        &mut self.health
    }

    /// Remembers a target that answers well, to probe with.
    pub fn remember_target(&mut self, target: &str) {
        if self.probe_target.as_deref() != Some(target) {
            self.probe_target = Some(target.to_owned());
        }
    }

    /// The target to probe with.
    #[must_use]
    pub fn probe_target(&self) -> &str {
        self.probe_target.as_deref().unwrap_or("/")
    }

    /// How busy the instance is.
    #[must_use]
    pub fn load(&self) -> LoadFigure {
        self.queue.load()
    }

    /// Whether no request is waiting or running.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.queue.load() == LoadFigure::default()
    }

    /// The state for a dump.
    #[must_use]
    pub fn dump(&self) -> serde_json::Value {
        json!({
            "instance": self.local.instance,
            "phase": self.local.phase,
            "running": self.running.len(),
            "queue": self.queue.dump(),
            "health": self.health.dump(),
        })
    }

    fn end_trial(&mut self, key: RequestKey) {
        if self.trial == Some(key) {
            self.trial = None;
        }
    }

    /// Each leaves the queue through its own guard.
    fn refuse_waiting(&mut self) {
        for (_, sender) in self.waiting.drain() {
            let _ = sender.send(SlotDecision::Refused(LEAVING_RETRY));
        }
    }

    fn carry_out(&mut self, actions: Vec<QueueAction>) {
        for action in actions {
            let (key, decision) = match action {
                QueueAction::Start(key) => (key, SlotDecision::Granted),
                QueueAction::Refuse { key, retry_after } => {
                    (key, SlotDecision::Refused(retry_after))
                }
            };
            if let Some(sender) = self.waiting.remove(&key) {
                // A receiver that is gone leaves through its own guard.
                let _ = sender.send(decision);
            }
        }
    }
}
