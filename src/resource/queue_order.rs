//! Order in which the requests to an instance get its slots.

use std::fmt;

use bincode::{Decode, Encode};
use serde::{Deserialize, Serialize};

/// What decides which waiting request gets the next free slot of an instance.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize, Encode, Decode,
)]
#[serde(rename_all = "kebab-case")]
pub enum QueueOrder {
    /// The weights of the request classes.
    #[default]
    Classes,
    /// The priorities and goals of the requests.
    Urgency,
}

impl fmt::Display for QueueOrder {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Classes => "classes",
            Self::Urgency => "urgency",
        })
    }
}
