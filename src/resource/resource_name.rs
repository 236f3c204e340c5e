//! The full name of a resource.

use std::fmt;

use bincode::{Decode, Encode};
use serde::{Deserialize, Serialize};

use crate::resource::ResourceKind;

/// A kind and the name within it, for example `route/lookups`.
#[derive(
    Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize, Encode, Decode,
)]
pub struct ResourceName {
    /// The kind.
    pub kind: ResourceKind,
    /// The name within the kind; a rate limit has its account's.
    pub id: String,
}

impl fmt::Display for ResourceName {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/{}", self.kind, self.id)
    }
}
