//! Whether an egress may send requests to the instances beside it.

use serde::Serialize;

/// What is known of the availability zone of an egress.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ZoneGate {
    /// The evacuated zones are not known yet, so nothing is sent.
    #[default]
    Unknown,
    /// The zone is in service.
    Open,
    /// The zone is evacuated.
    Evacuated,
}

impl ZoneGate {
    /// Whether requests and probes may be sent.
    #[must_use]
    pub const fn is_open(self) -> bool {
        matches!(self, Self::Open)
    }
}
