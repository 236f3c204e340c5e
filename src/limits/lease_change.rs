//! Changes of the leases that a daemon holds.

use crate::limits::ShareOrigin;
use crate::time::Deadline;

/// A change to the leases that the lender must apply.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaseChange {
    /// The lease of the share is held until the deadline.
    Held(u8, Deadline, ShareOrigin),
    /// The lease of the share is no longer held.
    Lost(u8),
}
