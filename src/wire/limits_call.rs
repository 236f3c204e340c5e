//! Calls between daemons for the distributed rate limits.

use bincode::{Decode, Encode};

use crate::ids::BootId;
use crate::limits::ShareSet;
use crate::wire::{GrantReply, GrantRequest, LoanReply, LoanRequest, LoanReturn};

/// A request to another daemon about rate limits. See `limits` for the roles of the daemons.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub enum LimitsCall {
    /// A home borrows shares from a lender or renews its loans.
    Borrow(LoanRequest),
    /// A home returns loans to the lender before they expire.
    Return(LoanReturn),
    /// An ingress requests tokens from a home and reports the tokens that it has spent.
    Grant(GrantRequest),
    /// A daemon that is shutting down has released its leases on these shares in the platform's
    /// table.
    Released(ShareSet),
    /// A lender asks which process uses the called address now.
    Identify,
}

/// The reply to a [`LimitsCall`].
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub enum LimitsReply {
    /// Reply to `Borrow`.
    Loans(LoanReply),
    /// Reply to `Grant`.
    Grants(GrantReply),
    /// Empty reply to `Return` and `Released`.
    Acknowledged,
    /// Reply to `Identify`: boot id of the replying process.
    Identity(BootId),
}
