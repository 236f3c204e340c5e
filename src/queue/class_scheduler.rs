//! Start-time fair queueing (SFQ) among the request classes of one instance.

use std::time::Duration;

use crate::ids::AccountId;
use crate::queue::RequestKey;
use crate::queue::account_queue::WaitingRequest;
use crate::queue::class_queue::ClassQueue;
use crate::queue::running_request::RunningRequest;
use crate::queue::service_estimate::ServiceEstimate;
use crate::resource::{ClassWeights, RequestClass};
use crate::time::Deadline;

/// Largest lag behind the virtual time that a class keeps when it becomes busy after being idle,
/// in seconds of service per unit of weight. The class may catch up on this much.
const MAX_CLASS_LAG_SECS: f64 = 0.1;
/// Factor on a running request's age while its class has no service-time sample. It is well below
/// one so that the first request of a long class does not look like a stall.
const UNKNOWN_CLASS_AGE_SCALE: f64 = 0.1;

/// Divides the slots of one instance among the request classes in proportion to their weights.
#[derive(Debug)]
pub(super) struct ClassScheduler {
    weights: ClassWeights,
    virtual_time: f64,
    classes: [ClassQueue; RequestClass::ALL.len()],
}

impl ClassScheduler {
    /// Creates a scheduler with an empty queue for each class.
    pub(super) fn open(weights: ClassWeights) -> Self {
        Self {
            weights,
            virtual_time: 0.0,
            classes: std::array::from_fn(|_| ClassQueue::open()),
        }
    }

    /// Replaces the weights. Charges already made are not recomputed.
    pub(super) const fn set_weights(&mut self, weights: ClassWeights) {
        self.weights = weights;
    }

    /// The queue of `class`.
    pub(super) const fn queue(&self, class: RequestClass) -> &ClassQueue {
        &self.classes[class as usize]
    }

    /// The queue of `class`, for removing requests and updating its estimate.
    pub(super) const fn queue_mut(&mut self, class: RequestClass) -> &mut ClassQueue {
        &mut self.classes[class as usize]
    }

    /// Expected service time of a request of `class`, in seconds.
    pub(super) const fn mean_secs(&self, class: RequestClass) -> f64 {
        self.queue(class).estimate.mean_secs()
    }

    /// Appends a request to its account's queue.
    pub(super) fn push(
        &mut self,
        class: RequestClass,
        account: &AccountId,
        key: RequestKey,
        deadline: Deadline,
    ) {
        let least_tag = self.virtual_time - MAX_CLASS_LAG_SECS;
        let queue = self.queue_mut(class);
        if queue.waiting() == 0 {
            queue.start_tag = queue.start_tag.max(least_tag);
        }
        queue.push(account, key, deadline);
    }

    /// The class with the lowest start tag among those that have waiting requests and for which
    /// `is_excluded` is false.
    pub(super) fn next_class(
        &self,
        is_excluded: impl Fn(RequestClass) -> bool,
    ) -> Option<RequestClass> {
        let tag = |class: &RequestClass| self.queue(*class).start_tag;
        RequestClass::ALL
            .into_iter()
            .filter(|class| self.queue(*class).waiting() > 0 && !is_excluded(*class))
            .min_by(|class, other| tag(class).total_cmp(&tag(other)))
    }

    /// Removes the next request of `class` from its queue.
    pub(super) fn pop(&mut self, class: RequestClass) -> Option<(AccountId, WaitingRequest)> {
        self.queue_mut(class).pop()
    }

    /// Charges the expected service time of a started request to its class and account, and
    /// returns it in seconds.
    pub(super) fn charge(&mut self, class: RequestClass, account: &AccountId) -> f64 {
        let weight = self.weight_of(class);
        let queue = &mut self.classes[class as usize];
        let charged_secs = queue.charge(account);
        self.virtual_time = self.virtual_time.max(queue.start_tag);
        queue.start_tag += charged_secs / weight;
        charged_secs
    }

    /// Replaces the charge of a request that has ended by its measured `service_time`.
    pub(super) fn correct_charge(&mut self, request: &RunningRequest, service_time: Duration) {
        let excess_secs = service_time.as_secs_f64() - request.charged_secs;
        let weight = self.weight_of(request.class);
        let queue = self.queue_mut(request.class);
        queue.start_tag += excess_secs / weight;
        queue.correct_charge(&request.account, excess_secs);
    }

    /// Expected seconds per second of the virtual time of `class`, that is, for each second of
    /// service of one of its accounts. Assumes that the classes and accounts which now have
    /// waiting requests share `slots`.
    pub(super) fn secs_per_virtual_sec(&self, class: RequestClass, slots: u32) -> f64 {
        let accounts = self.queue(class).backlogged_accounts().max(1);
        let accounts = f64::from(u32::try_from(accounts).unwrap_or(u32::MAX));
        accounts * self.secs_per_service_sec(class, slots)
    }

    /// Expected seconds per second of service of `class`. Assumes that the classes which now have
    /// waiting requests share `slots`.
    pub(super) fn secs_per_service_sec(&self, class: RequestClass, slots: u32) -> f64 {
        let rival_weights: f64 = RequestClass::ALL
            .into_iter()
            .filter(|other| *other != class && self.queue(*other).waiting() > 0)
            .map(|other| self.weight_of(other))
            .sum();
        let share = self.weight_of(class) / (self.weight_of(class) + rival_weights);
        1.0 / (f64::from(slots) * share)
    }

    /// Factor that makes the ages of requests of different classes comparable: the mean service
    /// time of the shortest class divided by that of `class`.
    pub(super) fn age_scale(&self, class: RequestClass) -> f64 {
        let estimate = self.queue(class).estimate;
        if !estimate.is_known() {
            return UNKNOWN_CLASS_AGE_SCALE;
        }
        let estimates = self.classes.iter().map(|queue| queue.estimate);
        let shortest_secs = estimates
            .filter(ServiceEstimate::is_known)
            .map(|estimate| estimate.mean_secs())
            .fold(f64::INFINITY, f64::min);
        shortest_secs / estimate.mean_secs()
    }

    /// State of each class for the diagnostic dump.
    pub(super) fn dump(&self) -> serde_json::Value {
        RequestClass::ALL
            .into_iter()
            .map(|class| (class.to_string(), self.queue(class).dump()))
            .collect()
    }

    fn weight_of(&self, class: RequestClass) -> f64 {
        f64::from(self.weights.weight(class).get())
    }
}
