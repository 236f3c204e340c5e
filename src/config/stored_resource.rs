//! Stored form of a resource: its fields and its version.

use serde::{Deserialize, Serialize};

use crate::ids::Version;
use crate::resource::ConfigResource;

/// A resource and its version.
///
/// The version is the revision of the resource's last change, so a resource that is deleted and
/// created again never reuses an earlier version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredResource {
    /// Revision of the last change to the resource.
    pub version: Version,
    /// The resource itself.
    pub resource: ConfigResource,
}
