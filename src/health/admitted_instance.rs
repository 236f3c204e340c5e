//! An instance that may be sent requests, with its share of the load.

use crate::units::Percent;

/// An instance that the capacity floor admits, and what it may be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdmittedInstance {
    /// Index in the records from which it was admitted.
    pub index: usize,
    /// Share of its full load that it may take.
    pub share: Percent,
    /// Whether the share is limited because it is cold, or may be.
    pub is_cold: bool,
    /// Whether it is ejected and admitted only to keep to the floor.
    pub is_forced: bool,
    /// Whether a limit of its health state is lifted for lack of healthy capacity: the share of
    /// its ramp, or that it takes idempotent requests only.
    pub is_limit_lifted: bool,
    /// Whether its health is `Healthy`, so that it takes requests that are not idempotent.
    pub is_healthy: bool,
}
