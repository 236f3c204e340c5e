//! Start-time fair queueing (SFQ) among the client accounts of one request class.

use std::time::Duration;

use crate::hash::FastMap;
use crate::ids::AccountId;
use crate::queue::RequestKey;
use crate::queue::account_queue::{AccountQueue, WaitingRequest};
use crate::queue::service_estimate::ServiceEstimate;
use crate::time::{Deadline, MonoTime};

/// Waiting requests of one class, started in the order of their accounts' start tags.
///
/// Each started request is charged the expected service time. The charge is corrected to the
/// measured service time when the request ends.
#[derive(Debug)]
pub(super) struct ClassQueue {
    /// Virtual time of the scheduler at which the class may start its next request, in seconds of
    /// service per unit of weight.
    pub(super) start_tag: f64,
    /// Expected service time of a request of this class.
    pub(super) estimate: ServiceEstimate,
    virtual_time: f64,
    accounts: FastMap<AccountId, AccountQueue>,
    waiting: usize,
}

impl ClassQueue {
    /// Creates an empty queue with the initial service-time estimate.
    pub(super) fn open() -> Self {
        Self {
            start_tag: 0.0,
            estimate: ServiceEstimate::open(),
            virtual_time: 0.0,
            accounts: FastMap::default(),
            waiting: 0,
        }
    }

    /// Number of waiting requests of all accounts.
    pub(super) const fn waiting(&self) -> usize {
        self.waiting
    }

    /// Number of waiting requests of `account`.
    pub(super) fn waiting_of(&self, account: &AccountId) -> usize {
        self.accounts
            .get(account)
            .map_or(0, |queue| queue.waiting.len())
    }

    /// Number of accounts with at least one waiting request.
    pub(super) fn backlogged_accounts(&self) -> usize {
        let queues = self.accounts.values();
        queues.filter(|queue| !queue.waiting.is_empty()).count()
    }

    /// Virtual time until a new request of `account` may start, in seconds of service.
    ///
    /// Every other backlogged account receives this much service first.
    pub(super) fn virtual_wait_secs(&self, account: &AccountId) -> f64 {
        let Some(queue) = self.accounts.get(account) else {
            return 0.0;
        };
        let own_secs = secs_of(queue.waiting.len(), self.estimate.mean_secs());
        (queue.start_tag - self.virtual_time).max(0.0) + own_secs
    }

    /// Service time of the waiting requests that start before a new request of `account`, in seconds.
    pub(super) fn secs_ahead(&self, account: &AccountId) -> f64 {
        let mean_secs = self.estimate.mean_secs();
        let own = self.accounts.get(account);
        let own_waiting = own.map_or(0, |queue| queue.waiting.len());
        let own_tag = own.map_or(self.virtual_time, |queue| {
            queue.start_tag.max(self.virtual_time)
        });
        let start_tag = own_tag + secs_of(own_waiting, mean_secs);
        let others = self.accounts.iter().filter(|(name, _)| *name != account);
        let secs_of_others = others.map(|(_, queue)| {
            // Each request of the account adds the mean to its start tag; equal tags go first.
            let lead_secs = start_tag - queue.start_tag + mean_secs;
            lead_secs.clamp(0.0, secs_of(queue.waiting.len(), mean_secs))
        });
        secs_of_others.sum::<f64>() + secs_of(own_waiting, mean_secs)
    }

    /// Appends a request to its account's queue.
    pub(super) fn push(&mut self, account: &AccountId, key: RequestKey, deadline: Deadline) {
        let virtual_time = self.virtual_time;
        let queue = self.accounts.entry(account.clone()).or_default();
        if queue.waiting.is_empty() {
            queue.start_tag = queue.start_tag.max(virtual_time);
        }
        queue.waiting.push_back(WaitingRequest { key, deadline });
        self.waiting += 1;
    }

    /// Removes the oldest request of the account with the lowest start tag; equal tags are
    /// ordered by account name.
    pub(super) fn pop(&mut self) -> Option<(AccountId, WaitingRequest)> {
        let queues = self.accounts.iter_mut();
        let (account, queue) = queues
            .filter(|(_, queue)| !queue.waiting.is_empty())
            .min_by(|(name, queue), (other_name, other)| {
                let order = queue.start_tag.total_cmp(&other.start_tag);
                order.then_with(|| name.cmp(other_name))
            })?;
        let request = queue.waiting.pop_front()?;
        self.virtual_time = self.virtual_time.max(queue.start_tag);
        self.waiting -= 1;
        Some((account.clone(), request))
    }

    /// Charges the expected service time of a started request to its account and returns the
    /// charge in seconds.
    pub(super) fn charge(&mut self, account: &AccountId) -> f64 {
        let charged_secs = self.estimate.mean_secs();
        let virtual_time = self.virtual_time;
        let queue = self.accounts.entry(account.clone()).or_default();
        queue.start_tag = queue.start_tag.max(virtual_time) + charged_secs;
        queue.running += 1;
        charged_secs
    }

    /// Ends a running request and adds to its account's charge the `excess_secs` by which the
    /// service time exceeded the charge; a negative excess reduces it.
    pub(super) fn correct_charge(&mut self, account: &AccountId, excess_secs: f64) {
        let Some(queue) = self.accounts.get_mut(account) else {
            return;
        };
        queue.start_tag += excess_secs;
        queue.running = queue.running.saturating_sub(1);
        if queue.is_idle() && queue.start_tag <= self.virtual_time {
            self.accounts.remove(account);
        }
    }

    /// Removes a waiting request, if it is here.
    pub(super) fn remove(&mut self, account: &AccountId, key: RequestKey) {
        let queue = self.accounts.get_mut(account);
        if queue.is_some_and(|queue| queue.remove(key)) {
            self.waiting -= 1;
        }
    }

    /// Drops idle accounts whose start tag is not ahead of the virtual time, and all accounts
    /// once every one is idle.
    pub(super) fn remove_idle_accounts(&mut self) {
        if self.accounts.values().all(AccountQueue::is_idle) {
            self.accounts.clear();
        }
        let virtual_time = self.virtual_time;
        self.accounts
            .retain(|_, queue| !queue.is_idle() || queue.start_tag > virtual_time);
    }

    /// Waiting requests that are expected to start after their deadline or have less time left
    /// than the mean service time, with the time by which each would be late.
    ///
    /// The first slot is free after `first_free_secs`; from then on the virtual time advances by
    /// one second every `secs_per_virtual_sec` seconds.
    pub(super) fn late_requests(
        &self,
        first_free_secs: f64,
        secs_per_virtual_sec: f64,
        now: MonoTime,
    ) -> Vec<(AccountId, RequestKey, Duration)> {
        let mean_secs = self.estimate.mean_secs();
        let mut late = Vec::new();
        for (account, queue) in &self.accounts {
            let lead_secs = (queue.start_tag - self.virtual_time).max(0.0);
            let mut ahead = 0;
            for request in &queue.waiting {
                let own_secs = secs_of(ahead, mean_secs);
                let wait_secs = first_free_secs + (lead_secs + own_secs) * secs_per_virtual_sec;
                let left_secs = request.deadline.remaining(now).as_secs_f64();
                let over_secs = wait_secs + mean_secs - left_secs;
                if over_secs > mean_secs || left_secs < mean_secs {
                    let over = Duration::from_secs_f64(over_secs.max(mean_secs));
                    late.push((account.clone(), request.key, over));
                } else {
                    ahead += 1;
                }
            }
        }
        late.sort_by_key(|(_, key, _)| *key);
        late
    }

    /// State for the diagnostic dump; times are in seconds.
    pub(super) fn dump(&self) -> serde_json::Value {
        let accounts: serde_json::Map<_, _> = self
            .accounts
            .iter()
            .map(|(account, queue)| {
                let state = serde_json::json!({
                    "waiting": queue.waiting.len(),
                    "running": queue.running,
                    "debt_secs": (queue.start_tag - self.virtual_time).max(0.0),
                });
                (account.to_string(), state)
            })
            .collect();
        serde_json::json!({
            "waiting": self.waiting,
            "mean_secs": self.estimate.mean_secs(),
            "accounts": accounts,
        })
    }
}

/// Total of `count` requests of `each_secs` seconds.
fn secs_of(count: usize, each_secs: f64) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX)) * each_secs
}
