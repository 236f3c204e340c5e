//! The whole configuration as one document.

use crate::ids::Revision;
use crate::resource::ConfigResource;

/// Every resource at one revision, as a store holds it whose operators write it whole.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConfigDocument {
    /// Its revision; later documents have higher ones, not always the next.
    pub revision: Revision,
    /// Its resources.
    pub resources: Vec<ConfigResource>,
}
