//! How the fleet tests whether an ejected instance has recovered.

use bincode::{Decode, Encode};
use serde::{Deserialize, Serialize};

/// Requests that the egress sends to an ejected instance after its backoff has passed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
#[serde(rename_all = "kebab-case")]
pub enum RecoveryRule {
    /// Probes: the egress repeats an idempotent request that the instance answered successfully before.
    #[default]
    Probes,
    /// Idempotent requests of callers, which can be retried at another instance. Meant for backend
    /// servers that must receive no requests except those of callers.
    Requests,
}
