//! Plain decisions in place of ours.

use serde::Deserialize;

/// Switches for the measuring tool; a fleet in service leaves them off.
#[derive(Debug, Clone, Copy, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct BaselineSettings {
    /// Picks instances in turn.
    pub round_robin: bool,
    /// Ejects no instance.
    pub no_ejection: bool,
    /// Splits each rate among the daemons once and for all.
    pub static_split: bool,
}
