//! The algorithms that a simulation uses.

/// The fleet's algorithms, or simple ones to compare them with.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ModelPolicy {
    /// Fair queueing between accounts; otherwise first in, first out.
    pub is_fair: bool,
    /// Load balancing by the instance picker; otherwise round robin.
    pub picks_by_load: bool,
    /// The outlier detection of the health module; otherwise an ejection after five failures in a
    /// row.
    pub detects_outliers: bool,
}

impl ModelPolicy {
    /// The fleet's algorithms.
    pub const FLEET: Self = Self {
        is_fair: true,
        picks_by_load: true,
        detects_outliers: true,
    };
    /// Round robin, first in, first out, and an ejection after five failures in a row.
    pub const BASELINE: Self = Self {
        is_fair: false,
        picks_by_load: false,
        detects_outliers: false,
    };
}
