//! What an ingress says on a request's stream after its offer.

use bincode::{Decode, Encode};

/// A message from the ingress to the egress.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
pub enum IngressMessage {
    /// Start the request in the slot held.
    Go,
}
