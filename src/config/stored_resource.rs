//! A resource as its row holds it.

use serde::{Deserialize, Serialize};

use crate::ids::Version;
use crate::resource::ConfigResource;

/// A resource and its version.
///
/// The version is the revision of the last change, so that a resource that is deleted and
/// created again never shows an old version twice.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredResource {
    /// The version.
    pub version: Version,
    /// The resource.
    pub resource: ConfigResource,
}
