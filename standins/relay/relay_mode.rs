//! Network faults that the relay injects.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Treatment of all traffic; forward means from the client to the target.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RelayMode {
    /// Forwards all traffic without delay.
    #[default]
    Pass,
    /// Forwards all traffic, delayed by this many microseconds in each direction.
    Delay(u64),
    /// Forwards TCP traffic at this many bytes per second in each direction of each connection;
    /// datagrams are not limited.
    Rate(u64),
    /// Resets open connections and new ones; datagrams are lost.
    Cut,
    /// Holds forward TCP traffic until the mode changes; forward datagrams are lost.
    DropForward,
    /// Holds returning TCP traffic until the mode changes; returning datagrams are lost.
    DropBack,
    /// Holds TCP traffic in both directions until the mode changes; all datagrams are lost.
    DropBoth,
    /// Delivers nothing more on the connections open now, also in later modes; new connections
    /// work.
    Silent,
}

/// Direction of traffic through the relay.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FlowDirection {
    /// From the client to the target.
    Forward,
    /// From the target to the client.
    Back,
}

impl RelayMode {
    /// Whether this mode stops traffic in `direction`.
    pub fn blocks(self, direction: FlowDirection) -> bool {
        match self {
            Self::DropForward => direction == FlowDirection::Forward,
            Self::DropBack => direction == FlowDirection::Back,
            Self::DropBoth | Self::Cut => true,
            Self::Pass | Self::Delay(_) | Self::Rate(_) | Self::Silent => false,
        }
    }

    /// Delay of forwarded traffic.
    pub const fn delay(self) -> Duration {
        match self {
            Self::Delay(micros) => Duration::from_micros(micros),
            _ => Duration::ZERO,
        }
    }

    /// Time that `bytes` bytes occupy one direction of a connection.
    pub fn transfer_time(self, bytes: usize) -> Duration {
        match self {
            Self::Rate(rate) => Duration::from_secs_f64(bytes as f64 / rate as f64),
            _ => Duration::ZERO,
        }
    }
}
