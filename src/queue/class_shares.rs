//! The shares of the classes in the slots of one instance.

use std::time::Duration;

use crate::ids::AccountId;
use crate::queue::RequestKey;
use crate::queue::account_queue::WaitingRequest;
use crate::queue::class_queue::ClassQueue;
use crate::queue::running_request::RunningRequest;
use crate::queue::service_estimate::ServiceEstimate;
use crate::resource::{ClassWeights, RequestClass};
use crate::time::Deadline;

/// Share that a class may catch up on after it was idle, in seconds of service per weight.
const CLASS_CREDIT_SECS: f64 = 0.1;
/// Part of its age that a request counts with while its class is unknown.
const UNKNOWN_SCALE: f64 = 0.1;

/// Start-time fair queueing among classes, by weight.
#[derive(Debug)]
pub(super) struct ClassShares {
    weights: ClassWeights,
    virtual_time: f64,
    classes: [ClassQueue; RequestClass::ALL.len()],
}

impl ClassShares {
    /// Classes without requests.
    pub(super) fn open(weights: ClassWeights) -> Self {
        Self {
            weights,
            virtual_time: 0.0,
            classes: std::array::from_fn(|_| ClassQueue::open()),
        }
    }

    /// Changes the weights for what starts from now on.
    pub(super) const fn reweigh(&mut self, weights: ClassWeights) {
        self.weights = weights;
    }

    /// The queue of `class`.
    pub(super) const fn queue(&self, class: RequestClass) -> &ClassQueue {
        &self.classes[class as usize]
    }

    /// The queue of `class`, to take requests out.
    pub(super) const fn queue_mut(&mut self, class: RequestClass) -> &mut ClassQueue {
        &mut self.classes[class as usize]
    }

    /// Expected service time of `class`.
    pub(super) const fn mean_secs(&self, class: RequestClass) -> f64 {
        self.queue(class).estimate.mean_secs()
    }

    /// Puts a request at the end of its account's queue.
    pub(super) fn push(
        &mut self,
        class: RequestClass,
        account: &AccountId,
        key: RequestKey,
        deadline: Deadline,
    ) {
        let least_tag = self.virtual_time - CLASS_CREDIT_SECS;
        let queue = self.queue_mut(class);
        if queue.waiting() == 0 {
            queue.start_tag = queue.start_tag.max(least_tag);
        }
        queue.push(account, key, deadline);
    }

    /// The class whose turn it is among those that wait and that `is_held_back` lets go.
    pub(super) fn next_class(
        &self,
        is_held_back: impl Fn(RequestClass) -> bool,
    ) -> Option<RequestClass> {
        let tag = |class: &RequestClass| self.queue(*class).start_tag;
        RequestClass::ALL
            .into_iter()
            .filter(|class| self.queue(*class).waiting() > 0 && !is_held_back(*class))
            .min_by(|class, other| tag(class).total_cmp(&tag(other)))
    }

    /// Takes the next request of `class`.
    pub(super) fn pop(&mut self, class: RequestClass) -> Option<(AccountId, WaitingRequest)> {
        self.queue_mut(class).pop()
    }

    /// Charges a request that starts; gives the seconds charged.
    pub(super) fn charge(&mut self, class: RequestClass, account: &AccountId) -> f64 {
        let weight = self.weight_of(class);
        let queue = &mut self.classes[class as usize];
        let charged_secs = queue.charge(account);
        self.virtual_time = self.virtual_time.max(queue.start_tag);
        queue.start_tag += charged_secs / weight;
        charged_secs
    }

    /// Corrects the charge of a request that has ended.
    pub(super) fn settle(&mut self, request: &RunningRequest, service_time: Duration) {
        let excess_secs = service_time.as_secs_f64() - request.charged_secs;
        let weight = self.weight_of(request.class);
        let queue = self.queue_mut(request.class);
        queue.start_tag += excess_secs / weight;
        queue.settle(&request.account, excess_secs);
    }

    /// Seconds that pass on `slots` for each second of service of one account of `class`.
    pub(super) fn pace_secs(&self, class: RequestClass, slots: u32) -> f64 {
        let rival_weights: f64 = RequestClass::ALL
            .into_iter()
            .filter(|other| *other != class && self.queue(*other).waiting() > 0)
            .map(|other| self.weight_of(other))
            .sum();
        let share = self.weight_of(class) / (self.weight_of(class) + rival_weights);
        let accounts = self.queue(class).backlogged_accounts().max(1);
        let accounts = f64::from(u32::try_from(accounts).unwrap_or(u32::MAX));
        accounts / (f64::from(slots) * share)
    }

    /// The service time of the shortest class over that of `class`.
    pub(super) fn scale(&self, class: RequestClass) -> f64 {
        let estimate = self.queue(class).estimate;
        if !estimate.is_known() {
            return UNKNOWN_SCALE;
        }
        let estimates = self.classes.iter().map(|queue| queue.estimate);
        let shortest_secs = estimates
            .filter(ServiceEstimate::is_known)
            .map(|estimate| estimate.mean_secs())
            .fold(f64::INFINITY, f64::min);
        shortest_secs / estimate.mean_secs()
    }

    /// The state for the dump.
    pub(super) fn dump(&self) -> serde_json::Value {
        RequestClass::ALL
            .into_iter()
            .map(|class| (class.to_string(), self.queue(class).dump()))
            .collect()
    }

    fn weight_of(&self, class: RequestClass) -> f64 {
        f64::from(self.weights.of(class).get())
    }
}
