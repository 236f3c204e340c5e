//! Errors of reading past changes.

use quick_error::quick_error;

use crate::ids::Revision;
use crate::platform::PlatformError;

quick_error! {
    /// Past changes that cannot be read.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum HistoryError {
        /// The changes are no longer kept; the oldest revision to start from is given.
        TooOld(oldest: Revision) {
            display("changes are kept from revision {oldest}")
        }
        /// The change log at the platform cannot be read.
        Unreadable(cause: PlatformError) {
            display("{cause}")
            from()
        }
    }
}
