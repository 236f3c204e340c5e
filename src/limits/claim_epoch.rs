//! The `ClaimEpoch` identifier.

use crate::number_id;

number_id!(
    /// Identifies what a lender holds: it changes with every share claimed.
    ClaimEpoch
);
