//! How services are treated of which the configuration says no more than their name.

use serde::Deserialize;

use crate::resource::{ClassWeights, RecoveryRule};
use crate::units::{Percent, Slots};

/// Usual rules of a service.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ServiceSettings {
    /// Share of the capacity that ejections, drains and cold starts together never go below.
    pub floor: Percent,
    /// Requests that one instance runs at the same time, until it says so itself.
    pub slots: Slots,
    /// Weights of the classes.
    pub weights: ClassWeights,
    /// Retries allowed, as a share of first attempts.
    pub retry_budget: Percent,
    /// How an ejected instance comes back.
    pub recovery: RecoveryRule,
    /// Whether long classes leave a slot of each instance free while internal checks come.
    pub check_slot: bool,
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
        }
    }
}
