//! Which decisions the model runs with.

/// Ours, or a plain baseline to compare with.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ModelPolicy {
    /// Fair queueing; else first in, first out.
    pub is_fair: bool,
    /// The picker's choice; else round robin.
    pub picks_by_load: bool,
    /// The sequential tests; else an ejection after five errors or timeouts in a row.
    pub tests_sequentially: bool,
}

impl ModelPolicy {
    /// The project's decisions.
    pub const OURS: Self = Self {
        is_fair: true,
        picks_by_load: true,
        tests_sequentially: true,
    };
    /// Round robin, first in, first out, five errors in a row.
    pub const PLAIN: Self = Self {
        is_fair: false,
        picks_by_load: false,
        tests_sequentially: false,
    };
}
