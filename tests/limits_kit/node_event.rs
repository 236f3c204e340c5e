//! Events of a simulated node: messages, timers and answers of the platform table.

use wagtailtrack::ids::{BootId, DaemonId};
use wagtailtrack::limits::{AdmittedToken, LeasePlan};
use wagtailtrack::platform::{CommitOutcome, TableRow};
use wagtailtrack::wire::{
    GrantReply, GrantRequest, LimitsCall, LimitsReply, LoanReply, LoanRequest, LoanReturn,
    PeerCall, PeerOpening, PeerReply, encode,
};

use super::flood_callers::FloodCaller;

/// Overhead of a message: length and type code, and the header of the h2 frame.
const FRAME_BYTES: usize = 20 + 9;

/// An event for a node.
#[derive(Debug, Clone)]
pub enum NodeEvent {
    Tick,
    Request(usize),
    /// A request for an account by a caller that was told to come back.
    RequestAgain(usize, FloodCaller),
    GiveBack(BootId, AdmittedToken, usize),
    LoanRequest(usize, u64, LoanRequest),
    /// Lender, its boot, boot of the previous borrower, number and request that wait for the
    /// answer.
    Identify(usize, BootId, BootId, u64, LoanRequest),
    /// Lender's boot, boot of the previous borrower, node and boot that answer, number and request.
    Identity(BootId, BootId, (usize, BootId), u64, LoanRequest),
    LoanReply(BootId, DaemonId, u64, LoanReply),
    LoanTimeout(BootId, DaemonId, u64),
    Return(LoanReturn),
    GrantRequest(usize, u64, GrantRequest),
    GrantReply(BootId, u64, GrantReply),
    GrantTimeout(BootId, u64),
    ScanResult(BootId, u64, Vec<TableRow>),
    Commit(usize, u64, LeasePlan),
    Committed(BootId, u64, LeasePlan, CommitOutcome),
    CommitTimeout(BootId, u64, LeasePlan),
}

impl NodeEvent {
    /// Size on the wire in bytes, or 0 for an event that is not a message between daemons.
    pub fn wire_bytes(&self) -> usize {
        let call = |call| encode(&PeerOpening::Call(PeerCall::Limits(call)));
        let reply = |reply| encode(&PeerReply::Limits(reply));
        let encoded = match self.clone() {
            Self::LoanRequest(_, _, ask) => call(LimitsCall::Borrow(ask)),
            Self::Return(back) => call(LimitsCall::Return(back)),
            Self::Identify(..) => call(LimitsCall::Identify),
            Self::Identity(_, _, (_, boot), ..) => reply(LimitsReply::Identity(boot)),
            Self::GrantRequest(_, _, ask) => call(LimitsCall::Grant(ask)),
            Self::LoanReply(_, _, _, answer) => reply(LimitsReply::Loans(answer)),
            Self::GrantReply(_, _, answer) => reply(LimitsReply::Grants(answer)),
            _ => return 0,
        };
        encoded.unwrap().len() + FRAME_BYTES
    }
}
