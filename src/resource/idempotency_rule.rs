//! Whether the requests of a route may be repeated.

use bincode::{Decode, Encode};
use serde::{Deserialize, Serialize};

/// How a route decides whether a request is idempotent.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
#[serde(rename_all = "kebab-case")]
pub enum IdempotencyRule {
    /// By the method, as HTTP defines it.
    #[default]
    ByMethod,
    /// Every request may be repeated.
    Always,
    /// No request may be repeated.
    Never,
}

impl IdempotencyRule {
    /// Whether a request with `method` may be repeated.
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
