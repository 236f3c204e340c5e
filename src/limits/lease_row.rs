//! The row of the platform's table that records the lease of a share.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::ids::{BootId, DaemonId, StoreEra};
use crate::platform::RowKey;
use crate::units::TimeSpan;

/// Prefix of the keys of all lease rows.
pub const SHARE_PREFIX: &str = "limits/share/";

/// Longest lease of a row that is taken for one. Leases are hours long at most.
const MAX_LEASE: TimeSpan = TimeSpan::from_secs(7 * 24 * 3600);

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

    /// Parses the share from the key of a lease row. `None` if `key` is not the one that holders write.
    #[must_use]
    pub fn parse_key(key: &RowKey) -> Option<u8> {
        let share = key.0.strip_prefix(SHARE_PREFIX)?.parse().ok()?;
        (Self::key(share) == *key).then_some(share)
    }

    /// Parses the value of a lease row. `None` if another writer may have left it: it cannot be read, or
    /// its lease is longer than `MAX_LEASE`.
    #[must_use]
    pub fn parse_value(value: &[u8]) -> Option<Self> {
        let row: Self = serde_json::from_slice(value).ok()?;
        (row.lease <= MAX_LEASE).then_some(row)
    }
}
