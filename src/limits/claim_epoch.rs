//! The `ClaimEpoch` identifier.

use crate::number_id;

number_id!(
    /// Epoch of a lender's leases. It increases each time the lender claims a share, and differs
    /// between boots.
    ClaimEpoch
);
