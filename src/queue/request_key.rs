//! Fleet-wide unique identifier of a request.

use std::fmt;

use serde::Serialize;

use crate::ids::{BootId, RequestId};

/// Identifies a request by the boot of its ingress and a number that is unique within that boot.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize)]
pub struct RequestKey {
    /// Identifies one run of the ingress daemon.
    pub boot: BootId,
    /// Number of the request, unique within the boot.
    pub request: RequestId,
}

impl fmt::Display for RequestKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/{}", self.boot, self.request)
    }
}
