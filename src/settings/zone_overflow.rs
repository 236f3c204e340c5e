//! Whether requests stay in their availability zone.

use serde::Deserialize;

/// How requests are routed between availability zones.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ZoneOverflow {
    /// To the instances of all zones; those in other zones have a penalty (`proxy.zone_cost`).
    #[default]
    Off,
    /// To the instances of the own zone; to other zones only what the own zone has no room for in time.
    Local,
}
