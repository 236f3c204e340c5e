//! The rate limit of a client account.

use bincode::{Decode, Encode};
use serde::{Deserialize, Serialize};

use crate::ids::AccountId;
use crate::units::{Burst, Rate};

/// What a client account may send across the whole fleet: at most `burst + rate * t` in any time `t`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
#[serde(deny_unknown_fields)]
pub struct RateLimit {
    /// The client account that it limits.
    pub account: AccountId,
    /// Sustained requests a second.
    pub rate: Rate,
    /// Requests above the rate that may come at once.
    pub burst: Burst,
}
