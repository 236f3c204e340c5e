//! A stream of requests of one client account.

use std::net::SocketAddr;

use crate::request_kind::RequestKind;

/// Requests that come at random, independent of the answers.
#[derive(Debug, Clone)]
pub struct LoadStream {
    /// Number of the client account.
    pub account: usize,
    /// The secret of its key; none when it calls instances directly.
    pub secret: String,
    /// The kind of its requests.
    pub kind: RequestKind,
    /// Requests a second.
    pub rate: f64,
    /// Where it sends them, in turn at random.
    pub targets: Vec<SocketAddr>,
}
