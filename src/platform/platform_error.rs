//! Why a call to the platform failed.

use quick_error::quick_error;

quick_error! {
    /// A failed call; says whether it may have taken effect.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum PlatformError {
        /// The call provably had no effect.
        Unavailable(cause: String) {
            display("the platform's service is unavailable: {cause}")
        }
        /// The call may have taken effect although its answer is lost.
        Unknown(cause: String) {
            display("the platform's answer was lost, the call may have taken effect: {cause}")
        }
    }
}
