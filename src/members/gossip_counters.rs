//! Counts of the membership protocol.

use serde::Serialize;

/// Counted since the start of the process.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct GossipCounters {
    /// Datagrams sent.
    pub sent: u64,
    /// Bytes of the datagrams sent.
    pub sent_bytes: u64,
    /// Datagrams received and accepted.
    pub received: u64,
    /// Bytes of all datagrams received.
    pub received_bytes: u64,
    /// Datagrams dropped because their authentication failed.
    pub forged: u64,
    /// Datagrams dropped because they were malformed, truncated or too large.
    pub malformed: u64,
    /// Suspicions that this daemon raised itself.
    pub suspicions: u64,
    /// Members that turned from live to dead in this daemon's view.
    pub deaths: u64,
    /// Refutations of records about this daemon or its instances.
    pub refutations: u64,
    /// Buckets whose digests differed from a peer's.
    pub differing_buckets: u64,
}
