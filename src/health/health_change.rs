//! A transition between two health states of an instance.

use serde::Serialize;

use crate::health::HealthCause;
use crate::wire::HealthState;

/// A transition that the egress publishes in the instance record.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct HealthChange {
    /// The state before the change.
    pub from: HealthState,
    /// The state after the change.
    pub to: HealthState,
    /// Why the state changed.
    pub cause: HealthCause,
}
