//! Queue of one instance in the order that its service asks for.

use std::time::Duration;

use crate::ids::RouteId;
use crate::queue::{
    EnqueueOutcome, InstanceQueue, QueueAction, RequestKey, UrgencyQueue, UrgentRequest,
};
use crate::resource::{QueueOrder, RequestClass, ServiceSpec};
use crate::time::MonoTime;
use crate::units::Slots;
use crate::wire::InstanceLoad;

/// The queue of an instance.
#[derive(Debug)]
pub enum SlotQueue {
    /// Shares the slots by the weights of the request classes.
    Classes(Box<InstanceQueue>),
    /// Serves the most urgent requests first.
    Urgency(Box<UrgencyQueue>),
}

impl SlotQueue {
    /// Creates an empty queue for an instance with `slots` concurrent requests.
    #[must_use]
    pub fn open(slots: Slots, spec: &ServiceSpec) -> Self {
        match spec.order {
            QueueOrder::Classes => {
                let mut queue = InstanceQueue::open(slots, spec.weights);
                queue.reserve_check_slot(spec.reserves_check_slot);
                Self::Classes(Box::new(queue))
            }
            QueueOrder::Urgency => Self::Urgency(Box::new(UrgencyQueue::open(slots))),
        }
    }

    /// Applies the number of slots and the service's configuration. A changed order takes effect when
    /// the instance is announced anew, because requests in the queue keep their place.
    pub fn configure(&mut self, slots: Slots, spec: &ServiceSpec) {
        match self {
            Self::Classes(queue) => {
                queue.resize(slots, spec.weights);
                queue.reserve_check_slot(spec.reserves_check_slot);
            }
            Self::Urgency(queue) => queue.resize(slots),
        }
    }

    /// Adds a request. The refusals of requests that it displaces are the second part of the result.
    pub fn enqueue(
        &mut self,
        urgent: UrgentRequest,
        now: MonoTime,
    ) -> (EnqueueOutcome, Vec<QueueAction>) {
        match self {
            Self::Classes(queue) => (queue.enqueue(urgent.request, now), Vec::new()),
            Self::Urgency(queue) => {
                let outcome = queue.enqueue(urgent, now);
                (outcome, queue.take_displaced())
            }
        }
    }

    /// Ends a running request, which took `service_time` on the instance.
    pub fn finish(
        &mut self,
        key: RequestKey,
        service_time: Duration,
        now: MonoTime,
    ) -> Vec<QueueAction> {
        match self {
            Self::Classes(queue) => queue.finish(key, service_time, now),
            Self::Urgency(queue) => queue.finish(key, service_time, now),
        }
    }

    /// Removes a waiting or running request.
    pub fn cancel(&mut self, key: RequestKey, now: MonoTime) -> Vec<QueueAction> {
        match self {
            Self::Classes(queue) => queue.cancel(key, now),
            Self::Urgency(queue) => queue.cancel(key, now),
        }
    }

    /// Refuses waiting requests that can no longer meet their deadline and starts others.
    pub fn tick(&mut self, now: MonoTime) -> Vec<QueueAction> {
        match self {
            Self::Classes(queue) => queue.tick(now),
            Self::Urgency(queue) => queue.tick(now),
        }
    }

    /// Expected wait of a new request before it starts.
    #[must_use]
    pub fn expected_wait(&self, urgent: &UrgentRequest, now: MonoTime) -> Duration {
        let request = &urgent.request;
        match self {
            Self::Classes(queue) => queue.expected_wait(request.class, &request.account, now),
            Self::Urgency(queue) => queue.expected_wait(urgent, now),
        }
    }

    /// Mean time that requests of `route` and `class` take at the instance.
    #[must_use]
    pub fn mean_time(&self, route: &RouteId, class: RequestClass) -> Duration {
        let secs = match self {
            Self::Classes(queue) => queue.mean_secs(class),
            Self::Urgency(queue) => queue.mean_secs(route),
        };
        Duration::try_from_secs_f64(secs).unwrap_or(Duration::MAX)
    }

    /// Number of slots in use and of waiting requests.
    #[must_use]
    pub fn load(&self) -> InstanceLoad {
        match self {
            Self::Classes(queue) => queue.load(),
            Self::Urgency(queue) => queue.load(),
        }
    }

    /// Highest scaled age among the running requests; none when nothing runs.
    #[must_use]
    pub fn oldest_running_age(&self, now: MonoTime) -> Option<Duration> {
        match self {
            Self::Classes(queue) => queue.oldest_running_age(now),
            Self::Urgency(queue) => queue.oldest_running_age(now),
        }
    }

    /// State for the diagnostic dump.
    #[must_use]
    pub fn dump(&self) -> serde_json::Value {
        match self {
            Self::Classes(queue) => queue.dump(),
            Self::Urgency(queue) => queue.dump(),
        }
    }
}
