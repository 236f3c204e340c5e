//! Default rules of services for which the configuration gives only a name.

use serde::Deserialize;

use crate::resource::{ClassWeights, QueueOrder, RecoveryRule};
use crate::units::{Percent, Slots};

/// Default rules of a service.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ServiceSettings {
    /// Minimum share of the capacity that remains in use despite ejections, drains and cold starts.
    pub floor: Percent,
    /// Requests that one instance runs concurrently, until it announces its own number.
    pub slots: Slots,
    /// Weights of the request classes.
    pub weights: ClassWeights,
    /// Maximum retries as a share of first attempts.
    pub retry_budget: Percent,
    /// Rule by which an ejected instance is readmitted.
    pub recovery: RecoveryRule,
    /// Whether long request classes leave one slot of each instance free while internal checks arrive.
    pub check_slot: bool,
    /// Order in which waiting requests get the slots of an instance.
    pub order: QueueOrder,
}

impl Default for ServiceSettings {
    fn default() -> Self {
        Self {
            floor: Percent::FULL,
            slots: Slots::fixed(1),
            weights: ClassWeights::DEFAULT,
            retry_budget: Percent::ZERO,
            recovery: RecoveryRule::Probes,
            check_slot: true,
            order: QueueOrder::Classes,
        }
    }
}
