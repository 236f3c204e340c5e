//! Order of the queue that serves the most urgent requests first: which request starts next, which is
//! displaced and which is refused as late.

use std::time::Duration;

use crate::ids::{AccountId, RouteId};
use crate::queue::running_request::RunningRequest;
use crate::queue::urgency_level::UrgencyLevel;
use crate::queue::urgency_queue::MIN_RETRY_AFTER;
use crate::queue::{QueueAction, RequestKey, UrgencyQueue, UrgencyRank};
use crate::time::MonoTime;

/// Places that more urgent requests leave to each level, so that its guarantee can be used.
const RESERVED_PLACES: usize = 8;
/// Part of its share of all work that each waiting level is guaranteed, whatever more urgent levels
/// ask for. A kind of request counts as starved below a quarter of what all requests get on average,
/// counted in requests, which is more than a quarter of the work where the urgent ones are short.
pub(super) const GUARANTEED_SHARE: f64 = 0.4;
/// Most service time that a level saves up from its guarantee, in seconds.
const MAX_GUARANTEED_SECS: f64 = 1.0;

impl UrgencyQueue {
    pub(super) fn has_free_slot(&self) -> bool {
        self.running.len() < self.slots as usize
    }

    pub(super) fn start_waiting(&mut self, now: MonoTime) -> Vec<QueueAction> {
        let mut actions = Vec::new();
        while self.has_free_slot() {
            let Some(action) = self.start_next(now) else {
                break;
            };
            actions.push(action);
        }
        actions
    }

    /// Takes the next waiting request and starts it, or refuses it if less than its mean service time
    /// is left until its deadline.
    pub(super) fn start_next(&mut self, now: MonoTime) -> Option<QueueAction> {
        let rank = self.next_rank(now)?;
        let level = self.levels.get_mut(&rank)?;
        let (account, entry) = level.pop(&self.estimates, now)?;
        let key = entry.key;
        self.waiting.remove(&key);
        let charged_secs = self.estimates.mean_secs(&entry.route);
        // Without others that wait, a slot is better used for a request that may come late than left free.
        let is_wanted = !self.waiting.is_empty() || entry.deadline.has_passed(now);
        if is_wanted && entry.deadline.remaining(now).as_secs_f64() < charged_secs {
            let retry_after = MIN_RETRY_AFTER.max(Duration::from_secs_f64(charged_secs));
            return Some(QueueAction::Refuse { key, retry_after });
        }
        level.charge(&account, charged_secs);
        self.grant_guarantees(rank, charged_secs, now);
        let running = RunningRequest {
            account,
            class: entry.class,
            started: now,
            charged_secs,
        };
        self.running.insert(key, running);
        self.started.insert(key, (rank, entry.route));
        Some(QueueAction::Start(key))
    }

    /// Gives every level that waits its guaranteed part of the `secs` of service that a request of
    /// `chosen` takes.
    fn grant_guarantees(&mut self, chosen: UrgencyRank, secs: f64, now: MonoTime) {
        let total = self.total_demand(now);
        for (rank, level) in &mut self.levels {
            let used_secs = if *rank == chosen { secs } else { 0.0 };
            let share = match level.waiting() > 0 || *rank == chosen {
                true => GUARANTEED_SHARE * level.demand(now) / total,
                false => 0.0,
            };
            let saved_secs = level.guaranteed_secs + secs * share - used_secs;
            level.guaranteed_secs = saved_secs.clamp(0.0, MAX_GUARANTEED_SECS);
        }
    }

    /// The level that starts next: one whose guarantee covers its next request, or the most urgent.
    fn next_rank(&self, now: MonoTime) -> Option<UrgencyRank> {
        let waiting = || self.levels.iter().filter(|(_, level)| level.waiting() > 0);
        let guaranteed = waiting().filter(|(_, level)| {
            let next_secs = level.next_secs(&self.estimates, now);
            next_secs.is_some_and(|secs| level.guaranteed_secs >= secs.min(MAX_GUARANTEED_SECS))
        });
        let by_saved = |level: &UrgencyLevel, other: &UrgencyLevel| {
            level.guaranteed_secs.total_cmp(&other.guaranteed_secs)
        };
        let owed = guaranteed.max_by(|(_, level), (_, other)| by_saved(level, other));
        owed.or_else(|| waiting().next()).map(|(rank, _)| *rank)
    }

    /// Ends a running request and returns its route.
    pub(super) fn end(&mut self, key: RequestKey, service_time: Duration) -> Option<RouteId> {
        let request = self.running.remove(key)?;
        let (rank, route) = self.started.remove(&key)?;
        let excess_secs = service_time.as_secs_f64() - request.charged_secs;
        if let Some(level) = self.levels.get_mut(&rank) {
            level.end(&request.account, excess_secs);
        }
        Some(route)
    }

    /// Makes room in a full queue for a request of `rank`. Returns whether there is room.
    pub(super) fn displace(&mut self, rank: UrgencyRank, account: &AccountId, weight: f64) -> bool {
        let kept = |other: UrgencyRank| match other == rank {
            true => 1,
            false => RESERVED_PLACES,
        };
        let mut less_urgent = self.levels.range(rank..).rev();
        let found = less_urgent.find(|(other, level)| level.waiting() > kept(**other));
        let Some((&last_rank, level)) = found else {
            return false;
        };
        let displaced = match last_rank == rank {
            true => level.displaced_by(account, weight, &self.estimates),
            false => level.last(),
        };
        let Some(key) = displaced else {
            return false;
        };
        let wait_secs = level.waiting_secs(&self.estimates) / f64::from(self.slots);
        let retry_after = MIN_RETRY_AFTER.max(Duration::from_secs_f64(wait_secs));
        self.waiting.remove(&key);
        if let Some(level) = self.levels.get_mut(&last_rank) {
            level.remove(key);
        }
        self.displaced
            .push(QueueAction::Refuse { key, retry_after });
        true
    }

    /// Refuses the waiting requests that are not expected to finish by their deadline.
    pub(super) fn refuse_late(&mut self, now: MonoTime) -> Vec<QueueAction> {
        if self.waiting.is_empty() {
            return Vec::new();
        }
        let slots = f64::from(self.slots);
        let first_secs = self.first_free_secs(now);
        let mut ahead_secs = 0.0;
        let mut late = Vec::new();
        for (rank, level) in &self.levels {
            let guaranteed_slots = self.guaranteed_slots(*rank, now);
            let mut own_secs = 0.0;
            for entry in level.by_goal(&self.estimates, now) {
                let mean_secs = self.estimates.mean_secs(&entry.route);
                let left_secs = entry.deadline.remaining(now).as_secs_f64();
                let by_urgency = (ahead_secs + own_secs) / slots;
                let by_guarantee = (own_secs - level.guaranteed_secs).max(0.0) / guaranteed_slots;
                let start_secs = first_secs + by_urgency.min(by_guarantee);
                let late_secs = start_secs + mean_secs - left_secs;
                match late_secs > 0.0 {
                    true => late.push((*rank, entry.key, late_secs)),
                    false => own_secs += mean_secs,
                }
            }
            ahead_secs += own_secs;
        }
        let refuse = late.into_iter().map(|(rank, key, late_secs)| {
            self.waiting.remove(&key);
            if let Some(level) = self.levels.get_mut(&rank) {
                level.remove(key);
            }
            let retry_after = MIN_RETRY_AFTER.max(Duration::from_secs_f64(late_secs));
            QueueAction::Refuse { key, retry_after }
        });
        refuse.collect()
    }
}
