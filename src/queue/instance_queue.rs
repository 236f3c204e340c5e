//! Request queue of one instance: slot allocation, admission control and wait prediction.

use std::time::Duration;

use crate::hash::FastMap;
use crate::ids::AccountId;
use crate::queue::class_scheduler::ClassScheduler;
use crate::queue::running_request::RunningRequest;
use crate::queue::running_set::RunningSet;
use crate::queue::{EnqueueOutcome, QueueAction, QueuedRequest, RequestKey};
use crate::resource::{ClassWeights, RequestClass};
use crate::time::{Deadline, MonoTime};
use crate::units::Slots;
use crate::wire::InstanceLoad;

/// Maximum number of waiting requests of one account in one class.
const MAX_WAITING_PER_ACCOUNT: usize = 64;
/// A class is long when its mean service time exceeds that of internal checks by this factor.
const LONG_CLASS_RATIO: f64 = 4.0;
/// How long one slot stays reserved for internal checks after one was enqueued.
const CHECK_RESERVATION: Duration = Duration::from_secs(2);
/// Shortest retry-after time given with a refusal.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);

/// Shares the slots of one instance among request classes by weight, and within a class equally
/// among client accounts.
///
/// No slot stays free while a request waits, with one exception: while internal checks arrive,
/// long classes do not take the last free slot. A request that is not expected to finish by its
/// deadline is refused at once.
#[derive(Debug)]
pub struct InstanceQueue {
    slots: u32,
    /// Whether long classes leave the last free slot to internal checks.
    reserves_check_slot: bool,
    scheduler: ClassScheduler,
    /// End of the reservation that the latest internal check made.
    check_reserved_until: Deadline,
    running: RunningSet,
    waiting: FastMap<RequestKey, (RequestClass, AccountId)>,
}

impl InstanceQueue {
    /// Creates an empty queue for an instance with `slots` concurrent requests.
    #[must_use]
    pub fn open(slots: Slots, weights: ClassWeights) -> Self {
        Self {
            slots: slots.get(),
            reserves_check_slot: true,
            scheduler: ClassScheduler::open(weights),
            check_reserved_until: Deadline::at(MonoTime::ZERO),
            running: RunningSet::default(),
            waiting: FastMap::default(),
        }
    }

    /// Adds a request: starts it, lets it wait or refuses it.
    ///
    /// A request that is waiting or running already is left as it is; the outcome is then `Wait`.
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
            self.check_reserved_until = now.after(CHECK_RESERVATION);
        }
        let wait_secs = self.expected_wait_secs(class, &account, now);
        let finish_secs = wait_secs + self.scheduler.mean_secs(class);
        let late_secs = finish_secs - deadline.remaining(now).as_secs_f64();
        if late_secs > 0.0 {
            return refuse_after(late_secs);
        }
        if self.scheduler.queue(class).waiting_of(&account) >= MAX_WAITING_PER_ACCOUNT {
            return refuse_after(finish_secs / 2.0);
        }
        self.scheduler.push(class, &account, key, deadline);
        self.waiting.insert(key, (class, account));
        match self.start_if_next(class, now) {
            Some(QueueAction::Start(_)) => EnqueueOutcome::Start,
            Some(QueueAction::Refuse { retry_after, .. }) => EnqueueOutcome::Refuse { retry_after },
            None => EnqueueOutcome::Wait,
        }
    }

    /// Ends a running request and starts waiting ones on the freed slot.
    ///
    /// `service_time` is the time that the request took on the instance, without its wait in the
    /// queue.
    pub fn finish(
        &mut self,
        key: RequestKey,
        service_time: Duration,
        now: MonoTime,
    ) -> Vec<QueueAction> {
        if let Some(request) = self.running.remove(key) {
            let queue = self.scheduler.queue_mut(request.class);
            queue.estimate.observe(service_time);
            self.scheduler.correct_charge(&request, service_time);
        }
        self.start_waiting(now)
    }

    /// Removes a waiting or running request without using its service time as a sample.
    pub fn cancel(&mut self, key: RequestKey, now: MonoTime) -> Vec<QueueAction> {
        if let Some((class, account)) = self.waiting.remove(&key) {
            self.scheduler.queue_mut(class).remove(&account, key);
        } else if let Some(request) = self.running.remove(key) {
            self.scheduler.correct_charge(&request, request.age(now));
        }
        self.start_waiting(now)
    }

    /// Refuses waiting requests that can no longer meet their deadline, then starts others on
    /// free slots.
    pub fn tick(&mut self, now: MonoTime) -> Vec<QueueAction> {
        let first_free_secs = self.first_free_secs(now);
        let mut actions = Vec::new();
        for class in RequestClass::ALL {
            let pace = self.scheduler.secs_per_virtual_sec(class, self.slots);
            let queue = self.scheduler.queue_mut(class);
            for (account, key, over) in queue.late_requests(first_free_secs, pace, now) {
                queue.remove(&account, key);
                self.waiting.remove(&key);
                let retry_after = over.max(MIN_RETRY_AFTER);
                actions.push(QueueAction::Refuse { key, retry_after });
            }
            queue.remove_idle_accounts();
        }
        actions.extend(self.start_waiting(now));
        actions
    }

    /// Changes the number of slots and the class weights. Running requests continue, also when
    /// they now exceed the slots.
    pub fn resize(&mut self, slots: Slots, weights: ClassWeights) {
        self.slots = slots.get();
        self.scheduler.set_weights(weights);
    }

    /// Sets whether long classes leave the last free slot to internal checks while these arrive.
    ///
    /// Where checks are few and short, turning this off serves more requests than it delays
    /// checks.
    pub const fn reserve_check_slot(&mut self, reserves_check_slot: bool) {
        self.reserves_check_slot = reserves_check_slot;
    }

    /// Number of slots in use and of waiting requests.
    #[must_use]
    pub fn load(&self) -> InstanceLoad {
        InstanceLoad {
            in_use: u32::try_from(self.running.len()).unwrap_or(u32::MAX),
            queued: u32::try_from(self.waiting.len()).unwrap_or(u32::MAX),
            cold_wait_micros: 0,
            closed_priorities: 0,
        }
    }

    /// Mean service time of a class, in seconds.
    #[must_use]
    pub fn mean_secs(&self, class: RequestClass) -> f64 {
        self.scheduler.mean_secs(class)
    }

    /// Highest age among the running requests, after scaling by class; none when nothing runs.
    ///
    /// Ages are scaled to the service time of the shortest class, so that a request of a long
    /// class counts as one of the shortest class that is equally late. Requests of a class
    /// without a service-time sample count with a small part of their age.
    #[must_use]
    pub fn oldest_running_age(&self, now: MonoTime) -> Option<Duration> {
        self.running
            .max_scaled_age(now, |_, request| self.scheduler.age_scale(request.class))
    }

    /// State for the diagnostic dump.
    #[must_use]
    pub fn dump(&self) -> serde_json::Value {
        serde_json::json!({
            "slots": self.slots,
            "load": self.load(),
            "classes": self.scheduler.dump(),
        })
    }
}

/// Starting waiting requests.
impl InstanceQueue {
    fn has_free_slot(&self) -> bool {
        self.running.len() < self.slots as usize
    }

    /// Starts the request just enqueued if a slot is free, its class is next and no other request
    /// of the class waits.
    fn start_if_next(&mut self, class: RequestClass, now: MonoTime) -> Option<QueueAction> {
        let is_alone = self.scheduler.queue(class).waiting() == 1;
        let is_next = self.next_class(now) == Some(class);
        if !(self.has_free_slot() && is_alone && is_next) {
            return None;
        }
        self.start_next(now)
    }

    fn start_waiting(&mut self, now: MonoTime) -> Vec<QueueAction> {
        let mut actions = Vec::new();
        while self.has_free_slot() {
            let Some(action) = self.start_next(now) else {
                break;
            };
            actions.push(action);
        }
        actions
    }

    /// Takes the next waiting request and starts it, or refuses it if less than the mean service
    /// time is left until its deadline.
    fn start_next(&mut self, now: MonoTime) -> Option<QueueAction> {
        let class = self.next_class(now)?;
        let (account, request) = self.scheduler.pop(class)?;
        let key = request.key;
        self.waiting.remove(&key);
        let mean_secs = self.scheduler.mean_secs(class);
        let left_secs = request.deadline.remaining(now).as_secs_f64();
        if left_secs < mean_secs {
            let retry_after = MIN_RETRY_AFTER.max(Duration::from_secs_f64(mean_secs));
            return Some(QueueAction::Refuse { key, retry_after });
        }
        let charged_secs = self.scheduler.charge(class, &account);
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
        self.scheduler
            .next_class(|class| self.yields_to_checks(class, now))
    }

    /// Whether `class` is long and only the slot reserved for internal checks is free.
    fn yields_to_checks(&self, class: RequestClass, now: MonoTime) -> bool {
        let free = self.slots as usize - self.running.len().min(self.slots as usize);
        let check_secs = self.scheduler.mean_secs(RequestClass::InternalCheck);
        self.reserves_check_slot
            && self.slots > 1
            && free == 1
            && !self.check_reserved_until.has_passed(now)
            && self.scheduler.mean_secs(class) > check_secs * LONG_CLASS_RATIO
    }
}

/// Predicting how long a request waits.
impl InstanceQueue {
    /// Returns the expected wait of a new request before it starts, behind the waiting requests of
    /// all accounts that go first.
    #[must_use]
    pub fn expected_wait(
        &self,
        class: RequestClass,
        account: &AccountId,
        now: MonoTime,
    ) -> Duration {
        if self.has_free_slot() && self.waiting.is_empty() {
            return Duration::ZERO;
        }
        let ahead_secs = self.scheduler.queue(class).secs_ahead(account);
        let pace = self.scheduler.secs_per_service_sec(class, self.slots);
        let wait_secs = self.first_free_secs(now) + ahead_secs * pace;
        Duration::try_from_secs_f64(wait_secs).unwrap_or(Duration::MAX)
    }

    /// Expected wait of a new request before it starts, in seconds.
    fn expected_wait_secs(&self, class: RequestClass, account: &AccountId, now: MonoTime) -> f64 {
        if self.has_free_slot() && self.waiting.is_empty() {
            return 0.0;
        }
        let virtual_secs = self.scheduler.queue(class).virtual_wait_secs(account);
        let pace = self.scheduler.secs_per_virtual_sec(class, self.slots);
        self.first_free_secs(now) + virtual_secs * pace
    }

    /// Expected time until a slot is free, in seconds.
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
