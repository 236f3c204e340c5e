//! Bounds of the fleet-wide rate limits.

use serde::Deserialize;

use crate::units::TimeSpan;

/// Longer than the detection of a lost home takes, which is about 2 s, so that a lapse does not come
/// before its successor; short enough that the burst of the other half bridges it.
const LOAN_SECS: u64 = 3;

/// How shares of the rates are leased and lent.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LimitsSettings {
    /// Shares that each region's rates are cut into; every daemon must name the same number.
    pub shares: u32,
    /// Shares that one daemon holds at most.
    pub shares_per_daemon: u32,
    /// How long a daemon's lease of its shares lasts; longer than the platform's longest outage.
    pub lease: TimeSpan,
    /// How often the lease is renewed.
    pub renew: TimeSpan,
    /// How long shares are lent to a home.
    pub loan: TimeSpan,
    /// How long a grant of tokens lives.
    pub grant: TimeSpan,
}

impl Default for LimitsSettings {
    fn default() -> Self {
        Self {
            shares: 16,
            shares_per_daemon: 8,
            lease: TimeSpan::from_secs(8 * 3600),
            renew: TimeSpan::from_secs(300),
            loan: TimeSpan::from_secs(LOAN_SECS),
            grant: TimeSpan::from_secs(1),
        }
    }
}
