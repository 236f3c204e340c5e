//! Full name of a configuration resource: its kind and id.

use std::fmt;

use bincode::{Decode, Encode};
use serde::{Deserialize, Serialize};

use crate::resource::ResourceKind;

/// Kind and id of a resource, displayed like `route/lookups`.
#[derive(
    Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize, Encode, Decode,
)]
pub struct ResourceName {
    /// Kind of the resource.
    pub kind: ResourceKind,
    /// Name that is unique within the kind; for a rate limit, the name of its client account.
    pub id: String,
}

impl fmt::Display for ResourceName {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/{}", self.kind, self.id)
    }
}
