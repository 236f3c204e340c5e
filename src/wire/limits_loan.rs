//! Messages by which a home borrows shares of the rate limits from the lenders, the daemons that
//! have leased the shares. A home is the daemon that serves the token buckets of a shard of the
//! client accounts.

use std::net::SocketAddr;

use bincode::{Decode, Encode};

use crate::ids::BootId;
use crate::limits::{ClaimEpoch, ShardId, ShareSet};

/// A home's request for loans. The home counts their duration from when it sent the request, so
/// that they expire at the home before they do at the lender.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct LoanRequest {
    /// Boot id of the home.
    pub borrower: BootId,
    /// Peer address of the home. Only one process at a time can use it.
    pub address: SocketAddr,
    /// The lender's claim epoch in its last reply; 0 if there was none.
    pub epoch: ClaimEpoch,
    /// The requested shares, by shard.
    pub demands: Vec<LoanDemand>,
}

/// Shares that a home requests for one shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
pub struct LoanDemand {
    /// Shard of the client accounts.
    pub shard: ShardId,
    /// Shares that the home would accept.
    pub wanted: ShareSet,
    /// Those of the wanted shares whose loan to the home had not expired when it sent the request.
    pub held: ShareSet,
    /// Whether the sender is the backup of the home. The lender prefers the home, once it requests
    /// the shares itself.
    pub is_backup: bool,
}

/// A lender's reply to a [`LoanRequest`]. The lender counts the loans from when it replied.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct LoanReply {
    /// The lender's claim epoch.
    pub epoch: ClaimEpoch,
    /// All shares that the lender has leased.
    pub held_shares: ShareSet,
    /// Number of this reply, by which the home identifies the loans when it returns them.
    pub serial: u64,
    /// Duration of the loans, in microseconds.
    pub loan_micros: u64,
    /// Time after which to request withheld shares again, in microseconds; 0 if none was withheld.
    pub retry_micros: u64,
    /// The loans, by shard.
    pub loans: Vec<ShardLoan>,
}

/// Shares lent for one shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
pub struct ShardLoan {
    /// Shard of the client accounts.
    pub shard: ShardId,
    /// The lent shares.
    pub shares: ShareSet,
    /// Lower bound on the time that the shares had been unused, in milliseconds; `u32::MAX` if they
    /// were never used.
    pub unused_millis: u32,
}

/// A home's notice that it will not use these loans any more.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct LoanReturn {
    /// Boot id of the home.
    pub borrower: BootId,
    /// The loans, each with the serial of the reply that last renewed it.
    pub loans: Vec<ReturnedLoan>,
}

/// A loan that a home returns.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
pub struct ReturnedLoan {
    /// Shard of the client accounts.
    pub shard: ShardId,
    /// The returned shares.
    pub shares: ShareSet,
    /// Serial of the reply that last renewed the loan; see [`LoanReply::serial`].
    pub serial: u64,
}
