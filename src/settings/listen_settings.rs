//! Where the daemon listens.

use std::net::SocketAddr;

use serde::Deserialize;

/// The daemon's own addresses.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListenSettings {
    /// HTTP for callers.
    pub callers: SocketAddr,
    /// TCP and UDP for the other daemons.
    pub peers: SocketAddr,
    /// HTTP for operators, metrics and dumps.
    pub admin: SocketAddr,
    /// HTTP for announcements of the backend servers on this VM.
    pub announce: SocketAddr,
}
