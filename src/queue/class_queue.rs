//! The waiting requests of one class, shared fairly among client accounts.

use std::time::Duration;

use crate::hash::FastMap;
use crate::ids::AccountId;
use crate::queue::RequestKey;
use crate::queue::account_queue::{AccountQueue, WaitingRequest};
use crate::queue::service_estimate::ServiceEstimate;
use crate::time::{Deadline, MonoTime};

/// Start-time fair queueing among the accounts of a class, on measured service time.
#[derive(Debug)]
pub(super) struct ClassQueue {
    /// Virtual time at which the class may start next, in seconds of service per weight.
    pub(super) start_tag: f64,
    /// Expected service time.
    pub(super) estimate: ServiceEstimate,
    virtual_time: f64,
    accounts: FastMap<AccountId, AccountQueue>,
    waiting: usize,
}

impl ClassQueue {
    /// A class without requests.
    pub(super) fn open() -> Self {
        Self {
            start_tag: 0.0,
            estimate: ServiceEstimate::open(),
            virtual_time: 0.0,
            accounts: FastMap::default(),
            waiting: 0,
        }
    }

    /// Requests that wait.
    pub(super) const fn waiting(&self) -> usize {
        self.waiting
    }

    /// Requests of `account` that wait.
    pub(super) fn waiting_of(&self, account: &AccountId) -> usize {
        self.accounts
            .get(account)
            .map_or(0, |queue| queue.waiting.len())
    }

    /// Accounts with waiting requests.
    pub(super) fn backlogged_accounts(&self) -> usize {
        let queues = self.accounts.values();
        queues.filter(|queue| !queue.waiting.is_empty()).count()
    }

    /// Seconds of service that an account with a like share gets before a new request of `account`.
    pub(super) fn debt_secs(&self, account: &AccountId) -> f64 {
        let Some(queue) = self.accounts.get(account) else {
            return 0.0;
        };
        let own_secs = secs_of(queue.waiting.len(), self.estimate.mean_secs());
        (queue.start_tag - self.virtual_time).max(0.0) + own_secs
    }

    /// Puts a request at the end of its account's queue.
    pub(super) fn push(&mut self, account: &AccountId, key: RequestKey, deadline: Deadline) {
        let virtual_time = self.virtual_time;
        let queue = self.accounts.entry(account.clone()).or_default();
        if queue.waiting.is_empty() {
            queue.start_tag = queue.start_tag.max(virtual_time);
        }
        queue.waiting.push_back(WaitingRequest { key, deadline });
        self.waiting += 1;
    }

    /// Takes the request whose account has the lowest start tag.
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

    /// Charges a started request to its account; gives the seconds charged.
    pub(super) fn charge(&mut self, account: &AccountId) -> f64 {
        let charged_secs = self.estimate.mean_secs();
        let virtual_time = self.virtual_time;
        let queue = self.accounts.entry(account.clone()).or_default();
        queue.start_tag = queue.start_tag.max(virtual_time) + charged_secs;
        queue.running += 1;
        charged_secs
    }

    /// Corrects the charge of a request that has ended by `excess_secs`.
    pub(super) fn settle(&mut self, account: &AccountId, excess_secs: f64) {
        let Some(queue) = self.accounts.get_mut(account) else {
            return;
        };
        queue.start_tag += excess_secs;
        queue.running = queue.running.saturating_sub(1);
        if queue.is_idle() && queue.start_tag <= self.virtual_time {
            self.accounts.remove(account);
        }
    }

    /// Removes a waiting request.
    pub(super) fn remove(&mut self, account: &AccountId, key: RequestKey) {
        let queue = self.accounts.get_mut(account);
        if queue.is_some_and(|queue| queue.remove(key)) {
            self.waiting -= 1;
        }
    }

    /// Drops accounts that are idle and owe nothing.
    pub(super) fn sweep(&mut self) {
        if self.accounts.values().all(AccountQueue::is_idle) {
            self.accounts.clear();
        }
        let virtual_time = self.virtual_time;
        self.accounts
            .retain(|_, queue| !queue.is_idle() || queue.start_tag > virtual_time);
    }

    /// Waiting requests that would end past their deadline when `pace_secs` pass per second of
    /// one account's service and the first of them starts after `first_secs`.
    pub(super) fn late_requests(
        &self,
        first_secs: f64,
        pace_secs: f64,
        now: MonoTime,
    ) -> Vec<(AccountId, RequestKey, Duration)> {
        let mean_secs = self.estimate.mean_secs();
        let mut late = Vec::new();
        for (account, queue) in &self.accounts {
            let debt_secs = (queue.start_tag - self.virtual_time).max(0.0);
            let mut ahead = 0;
            for request in &queue.waiting {
                let own_secs = secs_of(ahead, mean_secs);
                let wait_secs = first_secs + (debt_secs + own_secs) * pace_secs;
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

    /// The state for the dump.
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

/// `count` times `each_secs`.
fn secs_of(count: usize, each_secs: f64) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX)) * each_secs
}
