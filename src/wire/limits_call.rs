//! Calls between daemons about rate limits.

use bincode::{Decode, Encode};

use crate::ids::BootId;
use crate::limits::ShareSet;
use crate::wire::{GrantReply, GrantRequest, LoanReply, LoanRequest, LoanReturn};

/// What a daemon asks.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub enum LimitsCall {
    /// A home borrows shares or renews their loans.
    Borrow(LoanRequest),
    /// A home ends loans early.
    Return(LoanReturn),
    /// An ingress asks for tokens and reports what it spent.
    Grant(GrantRequest),
    /// A leaving holder has released these shares in the table.
    Released(ShareSet),
    /// A lender asks which process has the address that it calls.
    Identify,
}

/// What it is answered.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub enum LimitsReply {
    /// The loans made.
    Loans(LoanReply),
    /// The tokens granted.
    Grants(GrantReply),
    /// The call was heard.
    Acknowledged,
    /// The boot of the process that answers.
    Identity(BootId),
}
