//! Identifies a request across the fleet.

use std::fmt;

use serde::Serialize;

use crate::ids::{BootId, RequestId};

/// A request, named by the boot of its ingress and its number within that boot.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize)]
pub struct RequestKey {
    /// The boot of the ingress.
    pub boot: BootId,
    /// The request within the boot.
    pub request: RequestId,
}

impl fmt::Display for RequestKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/{}", self.boot, self.request)
    }
}
