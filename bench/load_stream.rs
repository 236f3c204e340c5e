//! Requests of one kind that one client account sends at a mean rate.

use std::net::SocketAddr;

use crate::request_kind::RequestKind;

/// Requests sent at random times, independent of the responses.
#[derive(Debug, Clone)]
pub struct LoadStream {
    /// Index of the client account.
    pub account: usize,
    /// Secret of the account's key; empty for direct requests to instances.
    pub secret: String,
    /// Kind of the requests.
    pub kind: RequestKind,
    /// Mean rate, in requests per second.
    pub rate: f64,
    /// Addresses that the requests are sent to, chosen at random.
    pub targets: Vec<SocketAddr>,
}
