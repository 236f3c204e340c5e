//! Per-instance request queue: weighted fair sharing of slots and deadline-based admission.
//!
//! The queue is a pure state machine. The egress passes in events with the current time and
//! carries out the actions that are returned.

mod account_queue;
mod class_queue;
mod class_scheduler;
mod enqueue_outcome;
mod instance_queue;
mod queue_action;
mod queued_request;
mod request_key;
mod route_estimates;
mod running_request;
mod running_set;
mod service_estimate;
mod slot_queue;
mod urgency_forecast;
mod urgency_level;
mod urgency_order;
mod urgency_queue;
mod urgency_rank;
mod urgent_request;
mod work_rate;

pub use enqueue_outcome::EnqueueOutcome;
pub use instance_queue::InstanceQueue;
pub use queue_action::QueueAction;
pub use queued_request::QueuedRequest;
pub use request_key::RequestKey;
pub use slot_queue::SlotQueue;
pub use urgency_queue::UrgencyQueue;
pub use urgency_rank::UrgencyRank;
pub use urgent_request::UrgentRequest;
