//! Passage of control traffic between availability zones.

use serde::Deserialize;

/// How membership passes between availability zones.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ZoneSettings {
    /// Daemons of each zone that exchange members and instance records with other zones; the same on
    /// all daemons. With 0 every daemon does.
    pub relays: usize,
}
