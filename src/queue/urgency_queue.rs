//! Request queue of one instance that serves the most urgent requests first.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::hash::FastMap;
use crate::ids::RouteId;
use crate::queue::route_estimates::RouteEstimates;
use crate::queue::running_set::RunningSet;
use crate::queue::urgency_level::{LevelEntry, UrgencyLevel};
use crate::queue::{EnqueueOutcome, QueueAction, RequestKey, UrgencyRank, UrgentRequest};
use crate::time::MonoTime;
use crate::units::Slots;
use crate::wire::InstanceLoad;

/// Most requests that wait at one instance.
const MAX_WAITING: usize = 64;
/// Shortest retry-after time given with a refusal.
pub(super) const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);

/// Gives the slots of one instance to the most urgent requests first, within a rank of urgency fairly
/// to the client accounts, and within an account by goal.
///
/// Less urgent ranks are guaranteed a part of their share of the work. A request that is not expected
/// to finish by its deadline is refused at once. When the queue is full, a more urgent request
/// displaces the least urgent one.
#[derive(Debug)]
pub struct UrgencyQueue {
    pub(super) slots: u32,
    pub(super) estimates: RouteEstimates,
    pub(super) levels: BTreeMap<UrgencyRank, UrgencyLevel>,
    pub(super) running: RunningSet,
    /// Rank and route of each running request.
    pub(super) started: FastMap<RequestKey, (UrgencyRank, RouteId)>,
    pub(super) waiting: FastMap<RequestKey, UrgencyRank>,
    pub(super) displaced: Vec<QueueAction>,
    /// See [`InstanceLoad::closed_priorities`]; as of the last arrival or tick.
    closed_priorities: u16,
}

impl UrgencyQueue {
    /// Creates an empty queue for an instance with `slots` concurrent requests.
    #[must_use]
    pub fn open(slots: Slots) -> Self {
        Self {
            slots: slots.get(),
            estimates: RouteEstimates::open(),
            levels: BTreeMap::new(),
            running: RunningSet::default(),
            started: FastMap::default(),
            waiting: FastMap::default(),
            displaced: Vec::new(),
            closed_priorities: 0,
        }
    }

    /// Adds a request: starts it, lets it wait or refuses it. Requests that it displaces are returned
    /// by [`Self::take_displaced`].
    pub fn enqueue(&mut self, urgent: UrgentRequest, now: MonoTime) -> EnqueueOutcome {
        let UrgentRequest { request, route, .. } = &urgent;
        if self.running.contains(request.key) || self.waiting.contains_key(&request.key) {
            return EnqueueOutcome::Wait;
        }
        let rank = UrgencyRank::new(urgent.priority, request.class);
        let weight = f64::from(urgent.weight.max(1));
        let mean_secs = self.estimates.mean_secs(route);
        let level = self.levels.entry(rank);
        let level = level.or_insert_with(|| UrgencyLevel::open(now));
        let patience = urgent.goal.remaining(now);
        level.record_arrival(mean_secs, patience, now);
        let wait_secs = self.expected_wait_secs(rank, &request.account, weight, mean_secs, now);
        let finish_secs = wait_secs + mean_secs;
        let late_secs = finish_secs - request.deadline.remaining(now).as_secs_f64();
        self.closed_priorities = self.count_closed(now);
        let is_idle = self.has_free_slot() && self.waiting.is_empty();
        if late_secs > 0.0 && !is_idle {
            return refuse_after(late_secs);
        }
        if self.waiting.len() >= MAX_WAITING && !self.displace(rank, &request.account, weight) {
            return refuse_after(finish_secs / 2.0);
        }
        let key = request.key;
        let entry = LevelEntry {
            key,
            route: route.clone(),
            goal: urgent.goal.min(request.deadline),
            deadline: request.deadline,
            class: request.class,
        };
        if let Some(level) = self.levels.get_mut(&rank) {
            level.push(&request.account, weight, entry);
        }
        self.waiting.insert(key, rank);
        if !self.has_free_slot() || self.waiting.len() > 1 {
            return EnqueueOutcome::Wait;
        }
        match self.start_next(now) {
            Some(QueueAction::Start(_)) => EnqueueOutcome::Start,
            Some(QueueAction::Refuse { retry_after, .. }) => EnqueueOutcome::Refuse { retry_after },
            None => EnqueueOutcome::Wait,
        }
    }

    /// Returns the refusals of the requests that were displaced since the last call.
    pub fn take_displaced(&mut self) -> Vec<QueueAction> {
        std::mem::take(&mut self.displaced)
    }

    /// Ends a running request, which took `service_time` on the instance, and starts waiting ones.
    pub fn finish(
        &mut self,
        key: RequestKey,
        service_time: Duration,
        now: MonoTime,
    ) -> Vec<QueueAction> {
        if let Some(route) = self.end(key, service_time) {
            self.estimates.observe(&route, service_time);
        }
        self.start_waiting(now)
    }

    /// Removes a waiting or running request without using its service time as a sample.
    pub fn cancel(&mut self, key: RequestKey, now: MonoTime) -> Vec<QueueAction> {
        if let Some(rank) = self.waiting.remove(&key) {
            if let Some(level) = self.levels.get_mut(&rank) {
                level.remove(key);
            }
        } else if let Some(age) = self.running.age(key, now) {
            self.end(key, age);
        }
        self.start_waiting(now)
    }

    /// Refuses waiting requests that can no longer meet their deadline, then starts others on free
    /// slots.
    pub fn tick(&mut self, now: MonoTime) -> Vec<QueueAction> {
        let mut actions = self.refuse_late(now);
        for level in self.levels.values_mut() {
            level.remove_idle_accounts();
        }
        actions.extend(self.start_waiting(now));
        self.closed_priorities = self.count_closed(now);
        actions
    }

    /// Changes the number of slots. Running requests continue, also when they now exceed it.
    pub fn resize(&mut self, slots: Slots) {
        self.slots = slots.get();
    }

    /// Mean service time of a route, in seconds.
    #[must_use]
    pub fn mean_secs(&self, route: &RouteId) -> f64 {
        self.estimates.mean_secs(route)
    }

    /// Number of slots in use and of waiting requests, and the priorities that would not get a slot in
    /// time.
    #[must_use]
    pub fn load(&self) -> InstanceLoad {
        InstanceLoad {
            in_use: u32::try_from(self.running.len()).unwrap_or(u32::MAX),
            queued: u32::try_from(self.waiting.len()).unwrap_or(u32::MAX),
            cold_wait_micros: 0,
            closed_priorities: self.closed_priorities,
        }
    }

    /// Highest age among the running requests, after scaling by route; none when nothing runs.
    ///
    /// Ages are scaled to the service time of the shortest route, so that a request of a long route
    /// counts as one of the shortest that is equally late.
    #[must_use]
    pub fn oldest_running_age(&self, now: MonoTime) -> Option<Duration> {
        self.running.max_scaled_age(now, |key, _| {
            let started = self.started.get(&key);
            started.map_or(0.0, |(_, route)| self.estimates.age_scale(route))
        })
    }

    /// State for the diagnostic dump.
    #[must_use]
    pub fn dump(&self) -> serde_json::Value {
        let levels = self.levels.iter().map(|(rank, level)| {
            serde_json::json!({
                "rank": rank,
                "waiting": level.waiting(),
                "guaranteed_secs": level.guaranteed_secs,
            })
        });
        serde_json::json!({
            "order": "urgency",
            "slots": self.slots,
            "load": self.load(),
            "levels": levels.collect::<Vec<_>>(),
            "route_ms": self.estimates.dump(),
        })
    }
}

fn refuse_after(late_secs: f64) -> EnqueueOutcome {
    let retry_after = Duration::from_secs_f64(late_secs).max(MIN_RETRY_AFTER);
    EnqueueOutcome::Refuse { retry_after }
}
