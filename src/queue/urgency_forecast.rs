//! Predictions of the queue that orders by urgency: how long a request waits.

use std::time::Duration;

use crate::ids::AccountId;
use crate::queue::urgency_level::UrgencyLevel;
use crate::queue::urgency_order::GUARANTEED_SHARE;
use crate::queue::{UrgencyQueue, UrgencyRank, UrgentRequest};
use crate::time::MonoTime;

/// Number of priorities.
const ALL_PRIORITIES: u16 = 256;
/// Most of the slots' time that more urgent arrivals are expected to take from a waiting request.
const MAX_URGENT_SHARE: f64 = 0.8;
/// Demand below which a level counts as unused, in seconds of service a second.
const MIN_DEMAND: f64 = 0.01;

impl UrgencyQueue {
    /// Expected wait of a new request before it starts.
    #[must_use]
    pub fn expected_wait(&self, urgent: &UrgentRequest, now: MonoTime) -> Duration {
        let rank = UrgencyRank::new(urgent.priority, urgent.request.class);
        let weight = f64::from(urgent.weight.max(1));
        let mean_secs = self.estimates.mean_secs(&urgent.route);
        let account = &urgent.request.account;
        let wait_secs = self.expected_wait_secs(rank, account, weight, mean_secs, now);
        Duration::try_from_secs_f64(wait_secs).unwrap_or(Duration::MAX)
    }

    /// How many of the 256 priorities, from the least urgent on, would not get a slot in time for the
    /// goal that their requests usually have.
    pub(super) fn count_closed(&self, now: MonoTime) -> u16 {
        if self.waiting.is_empty() {
            return 0;
        }
        let is_closed = |(rank, level): &(&UrgencyRank, &UrgencyLevel)| {
            let own_secs = level.waiting_secs(&self.estimates);
            self.wait_secs(**rank, own_secs, now) > level.patience_secs()
        };
        // Levels without recent requests say nothing of the present load.
        let asked = self.levels.iter().rev().filter(|(rank, level)| {
            rank.is_new && (level.waiting() > 0 || level.demand(now) >= MIN_DEMAND)
        });
        let last_closed = asked.take_while(is_closed).last();
        last_closed.map_or(0, |(rank, _)| ALL_PRIORITIES - u16::from(rank.priority.0))
    }

    pub(super) fn expected_wait_secs(
        &self,
        rank: UrgencyRank,
        account: &AccountId,
        weight: f64,
        secs: f64,
        now: MonoTime,
    ) -> f64 {
        let own = self.levels.get(&rank);
        let own_secs = own.map_or(0.0, |level| {
            level.secs_ahead(account, weight, secs, &self.estimates)
        });
        self.wait_secs(rank, own_secs, now)
    }

    /// Expected wait of a request of `rank` behind `own_secs` of work of the same rank, and behind the
    /// work of more urgent requests that wait or arrive meanwhile.
    fn wait_secs(&self, rank: UrgencyRank, own_secs: f64, now: MonoTime) -> f64 {
        if self.has_free_slot() && self.waiting.is_empty() {
            return 0.0;
        }
        let slots = f64::from(self.slots);
        let urgent = || self.levels.range(..rank).map(|(_, level)| level);
        let ahead_secs: f64 = urgent()
            .map(|level| level.waiting_secs(&self.estimates))
            .sum();
        let arriving: f64 = urgent().map(|level| level.demand(now)).sum();
        let left_share = 1.0 - (arriving / slots).min(MAX_URGENT_SHARE);
        let by_urgency = (ahead_secs + own_secs) / (slots * left_share);
        let by_guarantee = own_secs / self.guaranteed_slots(rank, now);
        self.first_free_secs(now) + by_urgency.min(by_guarantee)
    }

    /// Slots that the guarantee of a rank amounts to.
    pub(super) fn guaranteed_slots(&self, rank: UrgencyRank, now: MonoTime) -> f64 {
        let own = self
            .levels
            .get(&rank)
            .map_or(0.0, |level| level.demand(now));
        let slots = f64::from(self.slots) * GUARANTEED_SHARE * own / self.total_demand(now);
        slots.max(f64::MIN_POSITIVE)
    }

    /// Work that requests of all ranks ask for, in seconds of service a second; never zero.
    pub(super) fn total_demand(&self, now: MonoTime) -> f64 {
        let demands = self.levels.values().map(|level| level.demand(now));
        demands.sum::<f64>().max(f64::MIN_POSITIVE)
    }

    /// Expected time until a slot is free, in seconds.
    pub(super) fn first_free_secs(&self, now: MonoTime) -> f64 {
        match self.has_free_slot() {
            true => 0.0,
            false => self.running.first_end_secs(now),
        }
    }
}
