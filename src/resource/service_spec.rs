//! Settings of a service, which is a group of equivalent backend servers.

use bincode::{Decode, Encode};
use serde::{Deserialize, Serialize};

use crate::ids::ServiceId;
use crate::resource::{ClassWeights, QueueOrder, RecoveryRule};
use crate::units::{Percent, Rate, Slots};

/// Settings for the backend servers of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct ServiceSpec {
    /// Unique name of the service.
    pub id: ServiceId,
    /// Minimum share of the service's capacity that stays available. Ejections, drains and cold starts
    /// together never go below it.
    pub floor: Percent,
    /// Maximum number of requests that one instance runs concurrently.
    pub slots: Slots,
    /// Scheduling weights of the request classes.
    pub weights: ClassWeights,
    /// Maximum number of retries, as a share of first attempts.
    pub retry_budget: Percent,
    /// How the egress tests whether an ejected instance has recovered.
    #[serde(default)]
    pub recovery: RecoveryRule,
    /// Whether each instance reserves a slot for internal checks while it receives them: classes with
    /// long requests then leave that slot free.
    #[serde(rename = "check-slot", default = "default_check_slot")]
    pub reserves_check_slot: bool,
    /// Requests per second that one instance takes while it is cold; none if there is no bound.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cold_rate: Option<Rate>,
    /// Path of the instances' health responses, which state how long the instance stays cold. None if
    /// they are not to be asked.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub health_path: Option<String>,
    /// What decides which waiting request gets the next free slot.
    #[serde(default)]
    pub order: QueueOrder,
}

const fn default_check_slot() -> bool {
    true
}
