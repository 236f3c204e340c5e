//! Public description of a live member.

use std::net::SocketAddr;

use serde::Serialize;

use crate::ids::{BootId, DaemonId, RegionId, ZoneId};
use crate::wire::MemberRecord;

/// A daemon that is alive or only suspected of having failed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct LiveMember {
    /// Name of the daemon.
    pub daemon: DaemonId,
    /// Identifies the run of its process.
    pub boot: BootId,
    /// Its TCP and UDP address for other daemons.
    pub address: SocketAddr,
    /// Availability zone in which the daemon runs.
    pub zone: ZoneId,
    /// Region in which the daemon runs.
    pub region: RegionId,
}

impl From<&MemberRecord> for LiveMember {
    fn from(record: &MemberRecord) -> Self {
        Self {
            daemon: record.daemon.clone(),
            boot: record.boot,
            address: record.address,
            zone: record.zone.clone(),
            region: record.region.clone(),
        }
    }
}
