//! Epoch number of a daemon's claims of leases.

use crate::number_id;

number_id!(
    /// Epoch of a lender's leases. It increases each time the lender claims a share, and differs
    /// between boots.
    ClaimEpoch
);
