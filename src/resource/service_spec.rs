//! A service: a group of like backend servers.

use bincode::{Decode, Encode};
use serde::{Deserialize, Serialize};

use crate::ids::ServiceId;
use crate::resource::{ClassWeights, RecoveryRule};
use crate::units::{Percent, Slots};

/// How the fleet treats the backend servers of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct ServiceSpec {
    /// Its name.
    pub id: ServiceId,
    /// Share of the capacity that ejections, drains and cold starts together never go below.
    pub floor: Percent,
    /// Requests that one instance runs at the same time.
    pub slots: Slots,
    /// Weights of the classes.
    pub weights: ClassWeights,
    /// Retries allowed, as a share of first attempts.
    pub retry_budget: Percent,
    /// How the egress finds out whether an ejected instance has recovered.
    #[serde(default)]
    pub recovery: RecoveryRule,
    /// Whether long classes leave a slot of each instance free while internal checks come.
    #[serde(default = "keeps_check_slot")]
    pub check_slot: bool,
}

const fn keeps_check_slot() -> bool {
    true
}
