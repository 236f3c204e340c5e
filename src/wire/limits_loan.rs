//! Messages that lend shares to the home of a shard.

use std::net::SocketAddr;

use bincode::{Decode, Encode};

use crate::ids::BootId;
use crate::limits::{ClaimEpoch, ShardId, ShareSet};

/// A home's ask for loans; it counts them from when it sent this.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct LoanRequest {
    /// The home's boot.
    pub borrower: BootId,
    /// The home's peer address, which only one process has at a time.
    pub address: SocketAddr,
    /// The lender's claim as the home last heard it; 0 while unknown.
    pub epoch: ClaimEpoch,
    /// What it asks for, by shard.
    pub demands: Vec<LoanDemand>,
}

/// The shares of one shard that a home asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
pub struct LoanDemand {
    /// The shard.
    pub shard: ShardId,
    /// Shares that it would take.
    pub wanted: ShareSet,
    /// Shares among them whose loan to it was live when it sent the ask.
    pub held: ShareSet,
    /// Whether it only stands in for the home, and leaves the shares to it when that one asks.
    pub is_backup: bool,
}

/// A lender's answer; it counts the loans from when it answered.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct LoanReply {
    /// The lender's claim.
    pub epoch: ClaimEpoch,
    /// All shares that the lender holds.
    pub held_shares: ShareSet,
    /// Number of this answer, named when the loans are returned.
    pub serial: u64,
    /// How long the loans last, in microseconds.
    pub loan_micros: u64,
    /// When to ask again for what was withheld, in microseconds; 0 when nothing was.
    pub retry_micros: u64,
    /// The loans.
    pub loans: Vec<ShardLoan>,
}

/// Shares lent for one shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
pub struct ShardLoan {
    /// The shard.
    pub shard: ShardId,
    /// The shares.
    pub shares: ShareSet,
    /// How long they had surely been unused, in milliseconds; `u32::MAX` when ever.
    pub unused_millis: u32,
}

/// A home's word that it will not use these loans again.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct LoanReturn {
    /// The home's boot.
    pub borrower: BootId,
    /// The loans, each by the serial of the answer that last renewed it.
    pub loans: Vec<ReturnedLoan>,
}

/// One returned loan.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
pub struct ReturnedLoan {
    /// The shard.
    pub shard: ShardId,
    /// The shares.
    pub shares: ShareSet,
    /// The serial of the answer.
    pub serial: u64,
}
