//! The table row by which a share is leased.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::ids::{BootId, DaemonId};
use crate::platform::RowKey;
use crate::units::TimeSpan;

/// Common beginning of the keys of all share rows.
pub const SHARE_PREFIX: &str = "limits/share/";

/// Who leases a share.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShareRow {
    /// The daemon.
    pub daemon: DaemonId,
    /// Its peer address, which one process at a time can bind.
    pub address: SocketAddr,
    /// Its boot.
    pub boot: BootId,
    /// Distinguishes the writes of one boot.
    pub nonce: u64,
    /// How long the lease lasts, counted by its holder from when it sent the write.
    pub lease: TimeSpan,
    /// Whether the holder has given it up.
    pub released: bool,
}

impl ShareRow {
    /// The key of the row of `share`.
    #[must_use]
    pub fn key(share: u8) -> RowKey {
        RowKey(format!("{SHARE_PREFIX}{share:03}"))
    }

    /// The share whose row has this key.
    #[must_use]
    pub fn parse_key(key: &RowKey) -> Option<u8> {
        key.0.strip_prefix(SHARE_PREFIX)?.parse().ok()
    }
}
