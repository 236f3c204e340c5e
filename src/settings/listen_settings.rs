//! Addresses on which a daemon listens.

use std::net::SocketAddr;

use serde::Deserialize;

/// Listen addresses of a daemon; each listener needs an address of its own.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListenSettings {
    /// HTTP listener for requests of callers.
    pub callers: SocketAddr,
    /// TCP and UDP listener for the other daemons.
    pub peers: SocketAddr,
    /// Address to which the other daemons send requests for the instances on this VM, if it differs
    /// from `peers`: for example the public address of a forwarder.
    #[serde(default)]
    pub advertised: Option<SocketAddr>,
    /// HTTP listener for the operators' API, metrics and dumps.
    pub admin: SocketAddr,
    /// HTTP listener for announcements of the backend servers on this VM.
    pub announce: SocketAddr,
}
