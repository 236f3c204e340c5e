//! The first message on a stream between daemons.

use bincode::{Decode, Encode};

use crate::wire::{PeerCall, RequestOffer};

/// What the stream is for.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub enum PeerOpening {
    /// A call with one reply.
    Call(PeerCall),
    /// A caller's request.
    Request(Box<RequestOffer>),
}
