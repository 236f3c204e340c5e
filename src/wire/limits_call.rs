//! Calls between daemons about rate limits.

use bincode::{Decode, Encode};

use crate::limits::ShareSet;
use crate::wire::{GrantAnswer, GrantAsk, LoanAnswer, LoanAsk, LoanReturn};

/// What a daemon asks.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub enum LimitsCall {
    /// A home borrows shares or renews their loans.
    Borrow(LoanAsk),
    /// A home ends loans early.
    Return(LoanReturn),
    /// An ingress asks for tokens and reports what it spent.
    Grant(GrantAsk),
    /// A leaving holder has released these shares in the table.
    Released(ShareSet),
}

/// What it is answered.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub enum LimitsReply {
    /// The loans made.
    Loans(LoanAnswer),
    /// The tokens granted.
    Grants(GrantAnswer),
    /// The call was heard.
    Heard,
}
