//! When a request counts as one that ends instances, and for how long.

use std::time::Duration;

/// When a request is refused, and for how long.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CrashRules {
    /// Instances that must have ended while they ran the request; 0 means that no request is suspected.
    pub limit: usize,
    /// How long a suspicion or a refusal lasts after the last end of an instance.
    pub hold: Duration,
}
