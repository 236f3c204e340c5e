//! What a follower wants done.

use std::net::SocketAddr;

use crate::config::ConfigChange;
use crate::ids::Revision;

/// Where a snapshot comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SnapshotSource {
    /// A peer.
    Peer(SocketAddr),
    /// The platform's table.
    Platform,
}

/// What the driver does next; each but `PushChanges` is answered by a call of the follower.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FollowerAction {
    /// Reads the head from the platform, then calls `head_read`.
    ReadHead,
    /// Asks a peer for its state and the changes after this revision, then calls `peer_answered`.
    QueryPeer(SocketAddr, Revision),
    /// Reads the changes after the first up to the second revision, then calls `changes_read`.
    ReadChanges(Revision, Revision),
    /// Reads a snapshot, then calls `snapshot_read`.
    ReadSnapshot(SnapshotSource),
    /// Sends changes to a peer; no answer is needed.
    PushChanges(SocketAddr, Vec<ConfigChange>),
}
