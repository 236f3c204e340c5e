//! An instance that may take work.

use crate::units::Percent;

/// An instance, by its place among the records, and the part of its work it may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdmittedInstance {
    /// Its place among the records.
    pub index: usize,
    /// The part of its full share.
    pub share: Percent,
    /// Whether only the floor lets it in, although it is ejected.
    pub is_forced: bool,
    /// Whether only the floor gives it its full share.
    pub is_limit_lifted: bool,
    /// Whether it takes requests that cannot be repeated.
    pub is_healthy: bool,
}
