//! Errors of calls to the platform's table and object store.

use quick_error::quick_error;

quick_error! {
    /// A failed call; the variant tells whether the call may have taken effect.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum PlatformError {
        /// The call had no effect and can be repeated.
        Unavailable(cause: String) {
            display("platform service unavailable: {cause}")
        }
        /// The response was lost, and the call may have taken effect.
        ResponseLost(cause: String) {
            display("platform response lost, the call may have taken effect: {cause}")
        }
    }
}
