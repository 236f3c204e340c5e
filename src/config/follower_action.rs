//! I/O that a configuration follower requests from its driver.

use std::net::SocketAddr;

use crate::config::ConfigChange;
use crate::ids::Revision;

/// Where to load a snapshot from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SnapshotSource {
    /// The peer at this address, page by page.
    Peer(SocketAddr),
    /// The platform's table, by a scan.
    Platform,
}

/// I/O for the driver to carry out. Except for `PushChanges`, the driver reports the result by a
/// call of the follower.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FollowerAction {
    /// Read the newest revision from the platform, then call `head_read`.
    ReadHead,
    /// Query a peer for its state and the changes after this revision, then call `peer_answered`.
    QueryPeer(SocketAddr, Revision),
    /// Read from the change log the changes after the first revision, up to and including the
    /// second, then call `changes_read`.
    ReadChanges(Revision, Revision),
    /// Load a snapshot, then call `snapshot_read`.
    ReadSnapshot(SnapshotSource),
    /// Send changes to a peer; the result is ignored.
    PushChanges(SocketAddr, Vec<ConfigChange>),
}
