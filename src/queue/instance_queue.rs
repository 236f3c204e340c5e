//! The queue before one instance.

use std::time::Duration;

use crate::hash::FastMap;
use crate::ids::AccountId;
use crate::queue::class_shares::ClassShares;
use crate::queue::running_request::RunningRequest;
use crate::queue::running_set::RunningSet;
use crate::queue::{EnqueueOutcome, QueueAction, QueuedRequest, RequestKey};
use crate::resource::{ClassWeights, RequestClass};
use crate::time::{Deadline, MonoTime};
use crate::units::Slots;
use crate::wire::LoadFigure;

/// Requests of one account and class that may wait.
const MAX_WAITING_PER_ACCOUNT: usize = 64;
/// Multiple of the expected time of an internal check from which a class is long.
const LONG_RATIO: f64 = 4.0;
/// Time after an internal check in which long classes leave it a slot.
const CHECK_MEMORY: Duration = Duration::from_secs(2);
/// Shortest advice on when to come back.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);

/// Shares the slots of one instance among classes by weight, then among accounts.
///
/// Leaves no slot free while a request waits, but for one: while internal checks come,
/// classes that take many times as long do not take the last slot. Refuses at once what
/// cannot finish in time.
#[derive(Debug)]
pub struct InstanceQueue {
    slots: u32,
    /// Whether long classes leave a slot free for internal checks.
    reserves_check_slot: bool,
    shares: ClassShares,
    check_due: Deadline,
    running: RunningSet,
    waiting: FastMap<RequestKey, (RequestClass, AccountId)>,
}

impl InstanceQueue {
    /// An empty queue before an instance with `slots`.
    #[must_use]
    pub fn open(slots: Slots, weights: ClassWeights) -> Self {
        Self {
            slots: slots.get(),
            reserves_check_slot: true,
            shares: ClassShares::open(weights),
            check_due: Deadline::at(MonoTime::ZERO),
            running: RunningSet::default(),
            waiting: FastMap::default(),
        }
    }

    /// Takes a request in; a request that is here already keeps waiting or running.
    pub fn enqueue(&mut self, request: QueuedRequest, now: MonoTime) -> EnqueueOutcome {
        let QueuedRequest {
            key,
            account,
            class,
            deadline,
        } = request;
        if self.running.contains(key) || self.waiting.contains_key(&key) {
            return EnqueueOutcome::Wait;
        }
        if class == RequestClass::InternalCheck {
            self.check_due = now.after(CHECK_MEMORY);
        }
        let finish_secs = self.wait_secs(class, &account, now) + self.shares.mean_secs(class);
        let late_secs = finish_secs - deadline.remaining(now).as_secs_f64();
        if late_secs > 0.0 {
            return refuse_after(late_secs);
        }
        if self.shares.queue(class).waiting_of(&account) >= MAX_WAITING_PER_ACCOUNT {
            return refuse_after(finish_secs / 2.0);
        }
        self.shares.push(class, &account, key, deadline);
        self.waiting.insert(key, (class, account));
        match self.start_alone(class, now) {
            Some(QueueAction::Start(_)) => EnqueueOutcome::Start,
            Some(QueueAction::Refuse { retry_after, .. }) => EnqueueOutcome::Refuse { retry_after },
            None => EnqueueOutcome::Wait,
        }
    }

    /// A request has ended after `service_time` on the instance, without queue wait.
    pub fn finish(
        &mut self,
        key: RequestKey,
        service_time: Duration,
        now: MonoTime,
    ) -> Vec<QueueAction> {
        if let Some(request) = self.running.remove(key) {
            let queue = self.shares.queue_mut(request.class);
            queue.estimate.observe(service_time);
            self.shares.settle(&request, service_time);
        }
        self.dispatch(now)
    }

    /// A request is wanted no more, whether it waits or runs.
    pub fn cancel(&mut self, key: RequestKey, now: MonoTime) -> Vec<QueueAction> {
        if let Some((class, account)) = self.waiting.remove(&key) {
            self.shares.queue_mut(class).remove(&account, key);
        } else if let Some(request) = self.running.remove(key) {
            self.shares.settle(&request, request.age(now));
        }
        self.dispatch(now)
    }

    /// Refuses what can no longer finish in time.
    pub fn tick(&mut self, now: MonoTime) -> Vec<QueueAction> {
        let first_secs = self.first_free_secs(now);
        let mut actions = Vec::new();
        for class in RequestClass::ALL {
            let pace_secs = self.shares.pace_secs(class, self.slots);
            let queue = self.shares.queue_mut(class);
            for (account, key, over) in queue.late_requests(first_secs, pace_secs, now) {
                queue.remove(&account, key);
                self.waiting.remove(&key);
                let retry_after = over.max(MIN_RETRY_AFTER);
                actions.push(QueueAction::Refuse { key, retry_after });
            }
            queue.sweep();
        }
        actions.extend(self.dispatch(now));
        actions
    }

    /// Changes the slots and weights; what runs keeps running.
    pub fn resize(&mut self, slots: Slots, weights: ClassWeights) {
        self.slots = slots.get();
        self.shares.reweigh(weights);
    }

    /// Sets whether long classes leave a slot free while internal checks come: where these are
    /// few and short, the slot serves more callers than it spares checks their wait.
    pub const fn reserve_check_slot(&mut self, reserves_check_slot: bool) {
        self.reserves_check_slot = reserves_check_slot;
    }

    /// Slots in use and requests that wait.
    #[must_use]
    pub fn load(&self) -> LoadFigure {
        LoadFigure {
            in_use: u32::try_from(self.running.len()).unwrap_or(u32::MAX),
            queued: u32::try_from(self.waiting.len()).unwrap_or(u32::MAX),
        }
    }

    /// How long the oldest running request has run.
    ///
    /// Scaled by class, so that a request of a long class counts as one of the shortest
    /// class that is as late, and one of a class without answers so far as a small part.
    #[must_use]
    pub fn oldest_running_age(&self, now: MonoTime) -> Option<Duration> {
        self.running
            .oldest(now, |request| self.shares.scale(request.class))
    }

    /// The state for the dump.
    #[must_use]
    pub fn dump(&self) -> serde_json::Value {
        serde_json::json!({
            "slots": self.slots,
            "load": self.load(),
            "classes": self.shares.dump(),
        })
    }
}

/// Starting requests.
impl InstanceQueue {
    fn has_free_slot(&self) -> bool {
        self.running.len() < self.slots as usize
    }

    /// Starts the request just offered when a slot is free and nothing else may take it.
    fn start_alone(&mut self, class: RequestClass, now: MonoTime) -> Option<QueueAction> {
        let is_alone = self.shares.queue(class).waiting() == 1;
        let is_next = self.next_class(now) == Some(class);
        if !(self.has_free_slot() && is_alone && is_next) {
            return None;
        }
        self.start_next(now)
    }

    fn dispatch(&mut self, now: MonoTime) -> Vec<QueueAction> {
        let mut actions = Vec::new();
        while self.has_free_slot() {
            let Some(action) = self.start_next(now) else {
                break;
            };
            actions.push(action);
        }
        actions
    }

    fn start_next(&mut self, now: MonoTime) -> Option<QueueAction> {
        let class = self.next_class(now)?;
        let (account, request) = self.shares.pop(class)?;
        let key = request.key;
        self.waiting.remove(&key);
        let mean_secs = self.shares.mean_secs(class);
        let left_secs = request.deadline.remaining(now).as_secs_f64();
        if left_secs < mean_secs {
            let retry_after = MIN_RETRY_AFTER.max(Duration::from_secs_f64(mean_secs));
            return Some(QueueAction::Refuse { key, retry_after });
        }
        let charged_secs = self.shares.charge(class, &account);
        let running = RunningRequest {
            account,
            class,
            started: now,
            charged_secs,
        };
        self.running.insert(key, running);
        Some(QueueAction::Start(key))
    }

    fn next_class(&self, now: MonoTime) -> Option<RequestClass> {
        self.shares
            .next_class(|class| self.is_held_back(class, now))
    }

    /// Whether a long class must leave the last free slot to internal checks.
    fn is_held_back(&self, class: RequestClass, now: MonoTime) -> bool {
        let free = self.slots as usize - self.running.len().min(self.slots as usize);
        let check_secs = self.shares.mean_secs(RequestClass::InternalCheck);
        self.reserves_check_slot
            && self.slots > 1
            && free == 1
            && !self.check_due.has_passed(now)
            && self.shares.mean_secs(class) > check_secs * LONG_RATIO
    }
}

/// Prediction: how long a request would wait.
impl InstanceQueue {
    /// Expected wait of a new request.
    fn wait_secs(&self, class: RequestClass, account: &AccountId, now: MonoTime) -> f64 {
        if self.has_free_slot() && self.waiting.is_empty() {
            return 0.0;
        }
        let debt_secs = self.shares.queue(class).debt_secs(account);
        self.first_free_secs(now) + debt_secs * self.shares.pace_secs(class, self.slots)
    }

    /// Expected time until a slot is free.
    fn first_free_secs(&self, now: MonoTime) -> f64 {
        if self.has_free_slot() {
            return 0.0;
        }
        self.running.first_end_secs(now)
    }
}

fn refuse_after(late_secs: f64) -> EnqueueOutcome {
    let retry_after = Duration::from_secs_f64(late_secs).max(MIN_RETRY_AFTER);
    EnqueueOutcome::Refuse { retry_after }
}
