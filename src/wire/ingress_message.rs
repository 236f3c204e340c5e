//! Messages that an ingress, the daemon that received a caller's request, sends to the egress on
//! the request's stream, after the offer.

use bincode::{Decode, Encode};

/// A message from the ingress to the egress.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub enum IngressMessage {
    /// Confirms that the egress may send the request to the instance, in the slot that it reserved.
    Go {
        /// The request body, if the offer did not contain it; empty otherwise.
        body: Vec<u8>,
    },
    /// The next part of a long body, after `Go`. The request is sent once the body is complete.
    BodyPart(Vec<u8>),
}
