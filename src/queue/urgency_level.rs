//! Waiting requests of one rank of urgency, fair among client accounts.

use std::time::Duration;

use crate::hash::FastMap;
use crate::ids::{AccountId, RouteId};
use crate::queue::RequestKey;
use crate::queue::route_estimates::RouteEstimates;
use crate::queue::work_rate::WorkRate;
use crate::resource::RequestClass;
use crate::time::{Deadline, MonoTime};

/// Weight of an arrival in the average of the time left for the wait.
const PATIENCE_STEP: f64 = 1.0 / 16.0;

/// A waiting request.
#[derive(Debug, Clone)]
pub(super) struct LevelEntry {
    pub(super) key: RequestKey,
    pub(super) route: RouteId,
    pub(super) goal: Deadline,
    pub(super) deadline: Deadline,
    pub(super) class: RequestClass,
}

/// Waiting requests of one client account, with its start tag for start-time fair queueing.
#[derive(Debug, Default)]
struct AccountBacklog {
    /// Virtual time at which the account's next request may start, in seconds of service per weight.
    start_tag: f64,
    weight: f64,
    waiting: Vec<LevelEntry>,
    running: u32,
}

/// The requests of one rank that wait at an instance.
#[derive(Debug)]
pub(super) struct UrgencyLevel {
    /// Service time that the level is guaranteed and has not used, in seconds.
    pub(super) guaranteed_secs: f64,
    demand: WorkRate,
    /// Moving average of the time that requests have left for their wait when they arrive, in seconds;
    /// none before the first.
    patience_secs: Option<f64>,
    virtual_time: f64,
    accounts: FastMap<AccountId, AccountBacklog>,
    waiting: usize,
}

impl UrgencyLevel {
    /// Creates an empty level.
    pub(super) fn open(now: MonoTime) -> Self {
        Self {
            guaranteed_secs: 0.0,
            demand: WorkRate::open(now),
            patience_secs: None,
            virtual_time: 0.0,
            accounts: FastMap::default(),
            waiting: 0,
        }
    }

    /// Counts the arrival of a request that asks for `secs` of service and has `left` until its goal.
    pub(super) fn record_arrival(&mut self, secs: f64, left: Duration, now: MonoTime) {
        self.demand.record(secs, now);
        if left.is_zero() {
            return;
        }
        let patience_secs = (left.as_secs_f64() - secs).max(0.0);
        let mean_secs = self.patience_secs.unwrap_or(patience_secs);
        self.patience_secs = Some(mean_secs + PATIENCE_STEP * (patience_secs - mean_secs));
    }

    /// Work that requests of the level ask for, in seconds of service a second.
    pub(super) fn demand(&self, now: MonoTime) -> f64 {
        self.demand.per_sec(now)
    }

    /// How long a request of the level can usually wait and still meet its goal, in seconds.
    pub(super) fn patience_secs(&self) -> f64 {
        self.patience_secs.unwrap_or(f64::INFINITY)
    }

    /// Number of waiting requests.
    pub(super) const fn waiting(&self) -> usize {
        self.waiting
    }

    /// Adds a request of `account`.
    pub(super) fn push(&mut self, account: &AccountId, weight: f64, entry: LevelEntry) {
        let backlog = self.accounts.entry(account.clone()).or_default();
        if backlog.waiting.is_empty() {
            backlog.start_tag = backlog.start_tag.max(self.virtual_time);
        }
        backlog.weight = weight;
        backlog.waiting.push(entry);
        self.waiting += 1;
    }

    /// Removes the next request: of the account with the lowest start tag the one with the earliest
    /// goal. Requests that can no longer meet their goal go last.
    pub(super) fn pop(
        &mut self,
        estimates: &RouteEstimates,
        now: MonoTime,
    ) -> Option<(AccountId, LevelEntry)> {
        let account = self.next_account()?.clone();
        let backlog = self.accounts.get_mut(&account)?;
        let index = best_index(&backlog.waiting, estimates, now)?;
        let entry = backlog.waiting.swap_remove(index);
        self.virtual_time = self.virtual_time.max(backlog.start_tag);
        self.waiting -= 1;
        Some((account, entry))
    }

    /// Expected service time of the request that [`Self::pop`] removes next, in seconds.
    pub(super) fn next_secs(&self, estimates: &RouteEstimates, now: MonoTime) -> Option<f64> {
        let waiting = &self.accounts.get(self.next_account()?)?.waiting;
        let entry = waiting.get(best_index(waiting, estimates, now)?)?;
        Some(estimates.mean_secs(&entry.route))
    }

    /// Charges the service time `secs` of a request that starts.
    pub(super) fn charge(&mut self, account: &AccountId, secs: f64) {
        if let Some(backlog) = self.accounts.get_mut(account) {
            backlog.start_tag += secs / backlog.weight;
            backlog.running += 1;
        }
    }

    /// Ends a running request whose charge was too low by `excess_secs`.
    pub(super) fn end(&mut self, account: &AccountId, excess_secs: f64) {
        if let Some(backlog) = self.accounts.get_mut(account) {
            backlog.start_tag += excess_secs / backlog.weight;
            backlog.running = backlog.running.saturating_sub(1);
        }
    }

    /// Removes a waiting request.
    pub(super) fn remove(&mut self, key: RequestKey) {
        for backlog in self.accounts.values_mut() {
            let before = backlog.waiting.len();
            backlog.waiting.retain(|entry| entry.key != key);
            self.waiting -= before - backlog.waiting.len();
        }
    }

    /// Drops accounts without requests that are owed nothing and owe nothing.
    pub(super) fn remove_idle_accounts(&mut self) {
        let virtual_time = self.virtual_time;
        self.accounts.retain(|_, backlog| {
            !backlog.waiting.is_empty() || backlog.running > 0 || backlog.start_tag > virtual_time
        });
    }

    /// Service time that all waiting requests ask for, in seconds.
    pub(super) fn waiting_secs(&self, estimates: &RouteEstimates) -> f64 {
        let backlogs = self.accounts.values();
        backlogs
            .map(|backlog| backlog_secs(backlog, estimates))
            .sum()
    }

    /// Service time that the level gives to others before a further request of `account` with the
    /// service time `secs`, in seconds. Of each other account no more than its fair part is counted.
    pub(super) fn secs_ahead(
        &self,
        account: &AccountId,
        weight: f64,
        secs: f64,
        estimates: &RouteEstimates,
    ) -> f64 {
        let own = self.accounts.get(account);
        let own_secs = own.map_or(0.0, |backlog| backlog_secs(backlog, estimates));
        let turn = (own_secs + secs) / weight;
        let others = self.accounts.iter().filter(|(name, _)| *name != account);
        let others_secs: f64 = others
            .map(|(_, backlog)| backlog_secs(backlog, estimates).min(turn * backlog.weight))
            .sum();
        own_secs + others_secs
    }

    /// The waiting requests in the order in which they would start if they were of one account.
    pub(super) fn by_goal(&self, estimates: &RouteEstimates, now: MonoTime) -> Vec<&LevelEntry> {
        let backlogs = self.accounts.values();
        let mut entries: Vec<_> = backlogs.flat_map(|backlog| &backlog.waiting).collect();
        entries.sort_by_cached_key(|entry| start_order(entry, estimates, now));
        entries
    }

    /// The request to turn away for one of another account: the one with the latest goal of the
    /// account with the longest backlog for its weight, if that is longer than that of `account`.
    pub(super) fn displaced_by(
        &self,
        account: &AccountId,
        weight: f64,
        estimates: &RouteEstimates,
    ) -> Option<RequestKey> {
        let own = self.accounts.get(account);
        let own_turn = own.map_or(0.0, |backlog| backlog_secs(backlog, estimates)) / weight;
        let (turn, _, longest) = self
            .accounts
            .iter()
            .filter(|(_, backlog)| backlog.waiting.len() > 1)
            .map(|(name, backlog)| {
                (
                    backlog_secs(backlog, estimates) / backlog.weight,
                    name,
                    backlog,
                )
            })
            .max_by(|(turn, name, _), (other, other_name, _)| {
                turn.total_cmp(other).then(name.cmp(other_name))
            })?;
        (turn > own_turn)
            .then(|| last_key(&longest.waiting))
            .flatten()
    }

    /// The request to turn away for a more urgent one.
    pub(super) fn last(&self) -> Option<RequestKey> {
        let entries = self.accounts.values().flat_map(|backlog| &backlog.waiting);
        let last = entries.max_by_key(|entry| (entry.goal, entry.key))?;
        Some(last.key)
    }

    fn next_account(&self) -> Option<&AccountId> {
        let waiting = self.accounts.iter();
        let waiting = waiting.filter(|(_, backlog)| !backlog.waiting.is_empty());
        let next = waiting.min_by(|(name, backlog), (other_name, other)| {
            let order = backlog.start_tag.total_cmp(&other.start_tag);
            order.then_with(|| name.cmp(other_name))
        });
        next.map(|(name, _)| name)
    }
}

fn backlog_secs(backlog: &AccountBacklog, estimates: &RouteEstimates) -> f64 {
    let entries = backlog.waiting.iter();
    entries.map(|entry| estimates.mean_secs(&entry.route)).sum()
}

fn last_key(waiting: &[LevelEntry]) -> Option<RequestKey> {
    let last = waiting.iter().max_by_key(|entry| (entry.goal, entry.key))?;
    Some(last.key)
}

/// Index of the request that starts first.
fn best_index(waiting: &[LevelEntry], estimates: &RouteEstimates, now: MonoTime) -> Option<usize> {
    (0..waiting.len()).min_by_key(|index| start_order(&waiting[*index], estimates, now))
}

/// Sorts requests that can no longer meet their goal behind the others.
fn start_order(
    entry: &LevelEntry,
    estimates: &RouteEstimates,
    now: MonoTime,
) -> (bool, Deadline, RequestKey) {
    let left_secs = entry.goal.remaining(now).as_secs_f64();
    let is_late = left_secs < estimates.mean_secs(&entry.route);
    (is_late, entry.goal, entry.key)
}
