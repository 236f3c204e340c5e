//! Why past changes cannot be had.

use quick_error::quick_error;

use crate::ids::Revision;
use crate::platform::PlatformError;

quick_error! {
    /// Changes that are not at hand.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum HistoryError {
        /// They are no longer kept anywhere.
        TooOld(oldest: Revision) {
            display("changes are kept from revision {oldest}")
        }
        /// The platform, which keeps them, cannot be read.
        Unreadable(cause: PlatformError) {
            display("{cause}")
            from()
        }
    }
}
