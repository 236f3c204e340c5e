//! A change of the health of an instance.

use serde::Serialize;

use crate::health::HealthCause;
use crate::wire::HealthState;

/// A change that the egress publishes in the instance's record.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct HealthChange {
    /// The state before.
    pub from: HealthState,
    /// The state now.
    pub to: HealthState,
    /// The evidence.
    pub cause: HealthCause,
}
