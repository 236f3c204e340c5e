//! Where a daemon's last confirmation of its configuration came from.

use std::fmt;
use std::net::SocketAddr;

/// Who last told a daemon that its configuration is the newest.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConfirmationSource {
    /// The store that keeps the configuration.
    Store,
    /// Another daemon.
    Peer(SocketAddr),
}

impl ConfirmationSource {
    /// The kind of source, as metrics name it.
    #[must_use]
    pub const fn kind(self) -> &'static str {
        match self {
            Self::Store => "store",
            Self::Peer(_) => "peer",
        }
    }

    /// The other daemon; none for the store.
    #[must_use]
    pub const fn peer(self) -> Option<SocketAddr> {
        match self {
            Self::Store => None,
            Self::Peer(peer) => Some(peer),
        }
    }
}

impl fmt::Display for ConfirmationSource {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Store => formatter.write_str("store"),
            Self::Peer(peer) => peer.fmt(formatter),
        }
    }
}
