//! Errors of applying a change to the catalog.

use quick_error::quick_error;

use crate::ids::Revision;

quick_error! {
    /// A change that cannot be applied to the catalog.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum CatalogError {
        /// The change does not have the revision after the catalog's.
        OutOfSequence(have: Revision, offered: Revision) {
            display("revision {offered} does not follow revision {have}")
        }
    }
}
