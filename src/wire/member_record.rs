//! What the fleet knows of one daemon.

use std::net::SocketAddr;

use bincode::{Decode, Encode};
use serde::Serialize;

use crate::ids::{BootId, DaemonId, Incarnation, RegionId, ZoneId};

/// How a daemon is seen.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum MemberState {
    /// It answers.
    Alive,
    /// This daemon found that it does not answer, neither directly nor through others.
    Suspect(DaemonId),
    /// Its suspicion was not refuted in time.
    Dead,
    /// It said that it leaves.
    Left,
}

impl MemberState {
    /// Orders states of the same incarnation; the higher one holds.
    #[must_use]
    pub const fn rank(&self) -> u8 {
        match self {
            Self::Alive => 0,
            Self::Suspect(_) => 1,
            Self::Dead => 2,
            Self::Left => 3,
        }
    }

    /// Whether the daemon counts as a live member.
    #[must_use]
    pub const fn is_live(&self) -> bool {
        matches!(self, Self::Alive | Self::Suspect(_))
    }
}

/// A daemon as gossip carries it; a higher incarnation replaces a lower one.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode, Serialize)]
pub struct MemberRecord {
    /// The daemon.
    pub daemon: DaemonId,
    /// Its boot.
    pub boot: BootId,
    /// Orders the records of this daemon; only the daemon itself raises it.
    pub incarnation: Incarnation,
    /// Its TCP and UDP address for other daemons.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Its region.
    pub region: RegionId,
    /// How it is seen.
    pub state: MemberState,
}

impl MemberRecord {
    /// Whether this record replaces `other` of the same daemon.
    #[must_use]
    pub fn supersedes(&self, other: &Self) -> bool {
        (self.incarnation, self.state.rank()) > (other.incarnation, other.state.rank())
    }

    /// The same record in another state.
    #[must_use]
    pub fn with_state(&self, state: MemberState) -> Self {
        Self {
            state,
            ..self.clone()
        }
    }
}
