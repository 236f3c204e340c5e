//! A complete configuration at one revision, for stores that keep it as a single document.

use crate::config::DocumentWarning;
use crate::ids::Revision;
use crate::resource::ConfigResource;

/// All resources of the configuration at one revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConfigDocument {
    /// Revision of the document. It increases from one document to the next, by one or more.
    pub revision: Revision,
    /// All resources, in no particular order.
    pub resources: Vec<ConfigResource>,
    /// Parts of the document that are missing from `resources` or were replaced there.
    pub warnings: Vec<DocumentWarning>,
}
