//! Address, timeout and polling rate of the platform's table service.

use std::net::SocketAddr;

use serde::Deserialize;

use crate::units::TimeSpan;

/// Settings of the client of the platform's table service and object store.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// Address of the platform's service.
    pub address: SocketAddr,
    /// Timeout of one call.
    #[serde(default = "default_timeout")]
    pub timeout: TimeSpan,
    /// Reads of the configuration head per second by all daemons together; at least 1.
    #[serde(default = "default_polls")]
    pub head_polls_per_second: u32,
    /// How long a daemon admits requests after its configuration was last confirmed as the newest; at
    /// least 3 s.
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
