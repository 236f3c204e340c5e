//! A member as the rest of the daemon sees it.

use std::net::SocketAddr;

use serde::Serialize;

use crate::ids::{BootId, DaemonId, RegionId, ZoneId};
use crate::wire::MemberRecord;

/// A daemon that counts as live.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct LiveMember {
    /// The daemon.
    pub daemon: DaemonId,
    /// Its boot.
    pub boot: BootId,
    /// Its address for other daemons.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Its region.
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
