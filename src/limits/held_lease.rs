//! A lease that this daemon holds.

use crate::ids::{StoreEra, Version};
use crate::time::Deadline;

/// The lease of one share, as of its last write.
#[derive(Debug, Clone, Copy)]
pub(super) struct HeldLease {
    /// Version of its row.
    pub(super) version: Version,
    /// When it expires unless it is renewed.
    pub(super) until: Deadline,
    /// Era of the store in which the row was written.
    pub(super) era: StoreEra,
}
