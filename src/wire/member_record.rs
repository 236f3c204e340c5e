//! State of one daemon as gossip spreads it through the fleet.

use std::net::SocketAddr;

use bincode::{Decode, Encode};
use serde::Serialize;

use crate::ids::{BootId, DaemonId, Incarnation, RegionId, ZoneId};
use crate::wire::RunReport;

/// Membership state of a daemon.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum MemberState {
    /// It responds to probes.
    Alive,
    /// The named daemon suspects it, since it responded neither to a direct nor to an indirect
    /// probe.
    Suspect(DaemonId),
    /// It did not refute the suspicion within the timeout.
    Dead,
    /// It announced its shutdown.
    Left,
}

impl MemberState {
    /// Precedence among records of the same incarnation: the state with the higher rank wins.
    #[must_use]
    pub const fn rank(&self) -> u8 {
        match self {
            Self::Alive => 0,
            Self::Suspect(_) => 1,
            Self::Dead => 2,
            Self::Left => 3,
        }
    }

    /// Whether the daemon counts as a live member: alive, or suspected but not yet declared dead.
    #[must_use]
    pub const fn is_live(&self) -> bool {
        matches!(self, Self::Alive | Self::Suspect(_))
    }
}

/// State of a daemon. A record with a higher incarnation replaces one with a lower.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode, Serialize)]
pub struct MemberRecord {
    /// Id of the daemon.
    pub daemon: DaemonId,
    /// Boot id of its process.
    pub boot: BootId,
    /// Version of the record; only the daemon itself raises it.
    pub incarnation: Incarnation,
    /// Address for other daemons, for both TCP and UDP.
    pub address: SocketAddr,
    /// Availability zone of the daemon.
    pub zone: ZoneId,
    /// Region of the daemon.
    pub region: RegionId,
    /// Membership state.
    pub state: MemberState,
    /// The daemon's latest reports on requests that may end instances; empty as long as no instance
    /// beside it ends.
    pub runs: Vec<RunReport>,
}

impl MemberRecord {
    /// Whether this record is newer than `other`, a record of the same daemon, and replaces it.
    #[must_use]
    pub fn supersedes(&self, other: &Self) -> bool {
        (self.incarnation, self.state.rank()) > (other.incarnation, other.state.rank())
    }

    /// Whether other daemons must learn of the record at once, because it tells of requests that may
    /// end instances.
    #[must_use]
    pub fn has_urgent_runs(&self) -> bool {
        self.state == MemberState::Alive && !self.runs.is_empty()
    }

    /// A copy of the record with another state.
    #[must_use]
    pub fn with_state(&self, state: MemberState) -> Self {
        Self {
            state,
            ..self.clone()
        }
    }
}
