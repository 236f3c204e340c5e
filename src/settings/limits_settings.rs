//! Settings of the fleet-wide rate limits: number of shares, and durations of leases, loans and grants.

use serde::Deserialize;

use crate::units::TimeSpan;

/// Default duration of a loan, in milliseconds. Shares lent to a home that fails are unusable for at
/// most this long, and the burst of the other half covers about two seconds of it. Shorter loans cost
/// more messages.
const LOAN_MILLIS: u64 = 2_200;

/// Durations and counts for leasing and lending the shares of the rate limits.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LimitsSettings {
    /// Number of shares into which each region's rate limits are divided, 1 to 64. It must be the same
    /// on every daemon.
    pub shares: u32,
    /// Maximum number of shares that one daemon leases; at least 1.
    pub shares_per_daemon: u32,
    /// Duration of a daemon's lease of its shares; longer than the platform's longest outage.
    pub lease: TimeSpan,
    /// Interval at which leases are renewed; at most half of `lease`.
    pub renew: TimeSpan,
    /// Duration for which a share is lent to a home.
    pub loan: TimeSpan,
    /// Duration for which a grant of tokens is valid; at most `loan`.
    pub grant: TimeSpan,
    /// Whether the two homes of a client account run in different availability zones, and ingresses
    /// request tokens from the one in their own zone first. It must be the same on every daemon.
    pub zones: bool,
}

impl Default for LimitsSettings {
    fn default() -> Self {
        Self {
            shares: 16,
            shares_per_daemon: 8,
            lease: TimeSpan::from_secs(8 * 3600),
            renew: TimeSpan::from_secs(300),
            loan: TimeSpan::from_millis(LOAN_MILLIS),
            grant: TimeSpan::from_secs(1),
            zones: false,
        }
    }
}
