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
    /// Where the other daemons send requests for the instances here, if not to `peers`: the
    /// outer address of a forwarder on the way.
    #[serde(default)]
    pub advertised: Option<SocketAddr>,
    /// HTTP for operators, metrics and dumps.
    pub admin: SocketAddr,
    /// HTTP for announcements of the backend servers on this VM.
    pub announce: SocketAddr,
}
