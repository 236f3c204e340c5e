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
mod running_request;
mod running_set;
mod service_estimate;

pub use enqueue_outcome::EnqueueOutcome;
pub use instance_queue::InstanceQueue;
pub use queue_action::QueueAction;
pub use queued_request::QueuedRequest;
pub use request_key::RequestKey;
