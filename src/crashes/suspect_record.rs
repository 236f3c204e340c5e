//! A suspected request, as operators see it.

use serde::{Deserialize, Serialize};

use crate::crashes::RequestStanding;
use crate::wire::RequestDigest;

/// A request that was running when instances ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectRecord {
    /// The request.
    pub digest: RequestDigest,
    /// Whether it is refused, not only suspected.
    pub refused: bool,
    /// Instances that ended while they ran it.
    pub ends: usize,
}

impl SuspectRecord {
    /// Creates the record of a request; none if nothing speaks against it.
    pub(super) const fn open(digest: RequestDigest, standing: RequestStanding) -> Option<Self> {
        let (refused, ends) = match standing {
            RequestStanding::Clear => return None,
            RequestStanding::Suspected(ends) => (false, ends),
            RequestStanding::Refused(ends) => (true, ends),
        };
        Some(Self {
            digest,
            refused,
            ends,
        })
    }
}
