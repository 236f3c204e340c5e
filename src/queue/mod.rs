//! The queue before one instance: fair shares of its slots, and refusals at once.
//!
//! A pure state machine: the egress passes each event and the time in, and
//! carries out the actions that come back.

mod account_queue;
mod class_queue;
mod class_shares;
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
