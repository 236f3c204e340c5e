//! The first message on a stream between daemons.

use bincode::{Decode, Encode};

use crate::wire::{PeerCall, RequestOffer};

/// First message on a stream; it determines the rest of the exchange.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub enum PeerOpening {
    /// A call. The peer sends a `PeerReply` and ends the stream.
    Call(PeerCall),
    /// An HTTP request of a caller. `EgressMessage` and `IngressMessage` follow.
    Request(Box<RequestOffer>),
    /// Like `Request`, for a body that is sent in parts after `IngressMessage::Go`, with the body's
    /// size in bytes. A daemon that does not know this message refuses the stream.
    LongRequest(Box<RequestOffer>, u64),
}
