//! What the relay does with traffic.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// The treatment of all traffic; forward is from whoever connects to the target.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RelayMode {
    /// Passes everything at once.
    #[default]
    Pass,
    /// Passes everything, each way this many microseconds late.
    Delay(u64),
    /// Resets open connections and refuses new ones.
    Cut,
    /// Holds back what goes forward until the mode changes; datagrams are lost.
    DropForward,
    /// Holds back what comes back until the mode changes; datagrams are lost.
    DropBack,
    /// Holds back both ways.
    DropBoth,
    /// Swallows everything on connections open now, for good; new ones work.
    Silent,
}

/// A direction through the relay.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FlowDirection {
    /// To the target.
    Forward,
    /// From the target.
    Back,
}

impl RelayMode {
    /// Whether nothing passes in `direction` for now.
    pub fn holds(self, direction: FlowDirection) -> bool {
        match self {
            Self::DropForward => direction == FlowDirection::Forward,
            Self::DropBack => direction == FlowDirection::Back,
            Self::DropBoth | Self::Cut => true,
            Self::Pass | Self::Delay(_) | Self::Silent => false,
        }
    }

    /// How late traffic passes.
    pub const fn delay(self) -> Duration {
        match self {
            Self::Delay(micros) => Duration::from_micros(micros),
            _ => Duration::ZERO,
        }
    }
}
