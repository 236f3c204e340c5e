//! What an ingress says on a request's stream after its offer.

use bincode::{Decode, Encode};

/// A message from the ingress to the egress.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub enum IngressMessage {
    /// Start the request in the slot held.
    Go {
        /// The request's body, where the offer left it out.
        body: Vec<u8>,
    },
}
