//! How often the instances of a service call another one.

use bincode::{Decode, Encode};

use crate::ids::ServiceId;

/// Calls to a service, as a mean over the requests that the calling instances run.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct CallRate {
    /// The service that is called.
    pub service: ServiceId,
    /// Calls of a thousand runs.
    pub calls_per_thousand: u16,
}
