//! A loan of a share, as its borrower keeps it.

use crate::ids::DaemonId;
use crate::time::Deadline;

/// A share that a lender has lent to this home.
#[derive(Debug, Clone)]
pub struct PooledLoan {
    /// Number of the share.
    pub share: u8,
    /// The daemon that lent it.
    pub lender: DaemonId,
    /// Serial number of the lender's answer that last renewed the loan.
    pub serial: u64,
    /// When the loan expires by this home's clock, counted from when the request was sent.
    pub until: Deadline,
}
