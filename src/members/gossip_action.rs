//! What the membership decides to do.

use std::net::SocketAddr;

use crate::ids::{RegionId, Revision, ServiceId};
use crate::wire::GossipMessage;

/// An effect that the caller carries out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum GossipAction {
    /// Sends a datagram.
    Send {
        /// The receiver's address.
        to: SocketAddr,
        /// What is sent.
        message: GossipMessage,
    },
    /// A peer has this configuration revision.
    ReportRevision(Revision, SocketAddr),
    /// The view differs much from this peer's: pull from it.
    PullView(SocketAddr),
    /// The own region lacks this service: ask a daemon of another region for it.
    PullService {
        /// The service.
        service: ServiceId,
        /// The other region.
        region: RegionId,
        /// The daemon to ask.
        peer: SocketAddr,
    },
}
