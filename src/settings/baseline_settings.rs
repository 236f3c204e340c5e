//! Settings that replace load balancing, ejection and rate limit leases by simple baselines.

use serde::Deserialize;

/// Baselines that benchmarks compare against. All are off by default and in production.
#[derive(Debug, Clone, Copy, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct BaselineSettings {
    /// Picks instances by round robin instead of by load.
    pub round_robin: bool,
    /// Reports every instance as healthy, so that none is ejected.
    pub no_ejection: bool,
    /// Splits each rate limit statically among the daemons instead of leasing shares.
    pub static_split: bool,
}
