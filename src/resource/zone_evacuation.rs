//! Evacuation of an availability zone.

use bincode::{Decode, Encode};
use serde::{Deserialize, Serialize};

use crate::ids::ZoneId;

/// While this resource exists, the instances of its availability zone get no requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct ZoneEvacuation {
    /// The zone that is out of service.
    pub id: ZoneId,
}
