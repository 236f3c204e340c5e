//! What becomes of an offered request.

use std::time::Duration;

/// The queue's answer to an offer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OfferOutcome {
    /// It holds a slot; start it now.
    Start,
    /// It waits; an action will start or refuse it.
    Wait,
    /// It could not finish in time, or its account waits with too many already.
    Refuse {
        /// Time after which a request like it can be expected to be taken.
        retry_after: Duration,
    },
}
