//! Counters of the membership protocol.

use serde::Serialize;

/// Event counts since the start of the process.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct GossipCounters {
    /// Datagrams passed to the socket.
    pub sent: u64,
    /// Bytes of the datagrams sent.
    pub sent_bytes: u64,
    /// Datagrams received and accepted.
    pub received: u64,
    /// Bytes of all datagrams received.
    pub received_bytes: u64,
    /// Datagrams dropped because their authentication code did not match.
    pub forged: u64,
    /// Datagrams dropped because they were malformed, truncated or too large.
    pub malformed: u64,
    /// Suspicions raised by this daemon after a failed probe.
    pub suspicions: u64,
    /// Members that went from live to dead or left in this daemon's view.
    pub deaths: u64,
    /// Refutations published against records of this daemon or its instances.
    pub refutations: u64,
    /// Bucket digests received that differed from the own one of the same bucket.
    pub differing_buckets: u64,
}
