//! Idempotency of a route's requests, which decides whether they may be retried.

use bincode::{Decode, Encode};
use serde::{Deserialize, Serialize};

/// Rule by which a route decides whether a request is idempotent.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
#[serde(rename_all = "kebab-case")]
pub enum IdempotencyRule {
    /// A request is idempotent if HTTP defines its method so.
    #[default]
    ByMethod,
    /// Every request is idempotent.
    Always,
    /// No request is idempotent.
    Never,
}

impl IdempotencyRule {
    /// Whether a request with `method` is idempotent. Method names are case-sensitive.
    #[must_use]
    pub fn is_idempotent(self, method: &str) -> bool {
        match self {
            Self::ByMethod => matches!(
                method,
                "GET" | "HEAD" | "OPTIONS" | "PUT" | "DELETE" | "TRACE"
            ),
            Self::Always => true,
            Self::Never => false,
        }
    }
}
