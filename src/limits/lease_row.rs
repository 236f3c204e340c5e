//! The row of the platform's table that records the lease of a share.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::ids::{BootId, DaemonId, StoreEra};
use crate::platform::RowKey;
use crate::units::TimeSpan;

/// Prefix of the keys of all lease rows.
pub const SHARE_PREFIX: &str = "limits/share/";

/// The lease of one share.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRow {
    /// Id of the daemon that holds the lease.
    pub daemon: DaemonId,
    /// Peer address of that daemon. Only one process can bind it at a time.
    pub address: SocketAddr,
    /// Boot id of the process that wrote the row.
    pub boot: BootId,
    /// Counter that makes each write of a boot unique.
    pub nonce: u64,
    /// Duration of the lease. The holder counts it from when it sent the write.
    pub lease: TimeSpan,
    /// Whether the holder has released the lease.
    pub released: bool,
    /// Era of the store in which the row was written. A later era may have lost later rows.
    #[serde(default)]
    pub era: StoreEra,
}

impl LeaseRow {
    /// Key of the lease row of `share`.
    #[must_use]
    pub fn key(share: u8) -> RowKey {
        RowKey(format!("{SHARE_PREFIX}{share:03}"))
    }

    /// Parses the share from the key of a lease row. `None` if `key` is of another kind.
    #[must_use]
    pub fn parse_key(key: &RowKey) -> Option<u8> {
        key.0.strip_prefix(SHARE_PREFIX)?.parse().ok()
    }
}
