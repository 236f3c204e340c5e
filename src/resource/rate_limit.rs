//! Rate limit of a client account, as the parameters of a token bucket.

use bincode::{Decode, Encode};
use serde::{Deserialize, Serialize};

use crate::ids::AccountId;
use crate::units::{Burst, Rate};

/// Limits the requests of a client account across the whole fleet: at most `burst + rate * t` in any
/// time span `t`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
#[serde(deny_unknown_fields)]
pub struct RateLimit {
    /// Client account that the limit applies to.
    pub account: AccountId,
    /// Sustained rate, for example 100 requests per second.
    pub rate: Rate,
    /// Number of requests above the sustained rate that may arrive at once.
    pub burst: Burst,
}
