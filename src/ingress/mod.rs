//! The ingress.
mod attempt_machine;
pub mod header_rules;
pub use attempt_machine::{AttemptAction, AttemptEvent, AttemptMachine, AttemptState};
