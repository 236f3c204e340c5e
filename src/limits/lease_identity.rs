//! Identity of a daemon in the rows of its leases.

use std::net::SocketAddr;

use crate::ids::{BootId, DaemonId};
use crate::limits::LeaseRow;

/// Identity of the daemon, written to its lease rows.
#[derive(Debug, Clone)]
pub struct LeaseIdentity {
    /// Id of the daemon.
    pub daemon: DaemonId,
    /// Peer address of the daemon.
    pub address: SocketAddr,
    /// Boot id of the process.
    pub boot: BootId,
}

impl LeaseIdentity {
    /// Whether `row` names this daemon and its address, in this run or an earlier one.
    #[must_use]
    pub fn wrote(&self, row: &LeaseRow) -> bool {
        row.daemon == self.daemon && row.address == self.address
    }
}
