//! Why a change was not applied.

use quick_error::quick_error;

use crate::ids::Revision;

quick_error! {
    /// A change or snapshot that does not follow the catalog.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum CatalogError {
        /// It is not the next revision.
        OutOfSequence(have: Revision, offered: Revision) {
            display("revision {offered} does not follow revision {have}")
        }
    }
}
