//! How to reach the platform's service.

use std::net::SocketAddr;

use serde::Deserialize;

use crate::units::TimeSpan;

/// The platform's table service and object store.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// Its address.
    pub address: SocketAddr,
    /// How long one call may take.
    #[serde(default = "default_timeout")]
    pub timeout: TimeSpan,
    /// Fleet-wide reads of the configuration's head per second.
    #[serde(default = "default_polls")]
    pub head_polls_per_second: u32,
    /// How long a daemon admits requests after its configuration was last confirmed as the newest.
    #[serde(default = "default_freshness")]
    pub freshness: TimeSpan,
}

const fn default_timeout() -> TimeSpan {
    TimeSpan::from_secs(2)
}

const fn default_polls() -> u32 {
    100
}

const fn default_freshness() -> TimeSpan {
    TimeSpan::from_secs(10)
}
