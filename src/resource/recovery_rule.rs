//! How an ejected instance comes back.

use bincode::{Decode, Encode};
use serde::{Deserialize, Serialize};

/// What the egress tries an ejected instance with once its wait is over.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
#[serde(rename_all = "kebab-case")]
pub enum RecoveryRule {
    /// It repeats an idempotent request that the instance answered well before.
    #[default]
    Probes,
    /// It lets idempotent requests of callers through, which may be repeated elsewhere: for
    /// backend servers that must see no request but those of callers.
    Requests,
}
