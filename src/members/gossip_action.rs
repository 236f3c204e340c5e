//! Effects that the membership state machine requests.

use std::net::SocketAddr;

use crate::ids::{InstanceId, InstanceRun, RegionId, Revision, ServiceId};
use crate::wire::{GossipMessage, RunReport};

/// An effect that the caller of `GossipCore` carries out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum GossipAction {
    /// Send a datagram.
    Send {
        /// Peer address of the receiver.
        to: SocketAddr,
        /// Message to encode.
        message: GossipMessage,
    },
    /// Report the configuration revision and the address of the peer that advertised it.
    ReportRevision(Revision, SocketAddr),
    /// Report what another daemon says of requests that may end instances.
    ReportRuns(Vec<RunReport>),
    /// Report that this run of an instance beside the daemon has left, as an earlier process of the daemon
    /// published.
    ReportLeft(InstanceId, InstanceRun),
    /// Pull the differing owners from this peer, because the views differ too much for datagrams.
    PullView(SocketAddr),
    /// Query a daemon of another region for a service without ready instances in the own one.
    PullService {
        /// Service to query.
        service: ServiceId,
        /// Region of the queried daemon.
        region: RegionId,
        /// Peer address of the daemon to query.
        peer: SocketAddr,
    },
}
