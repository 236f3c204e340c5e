//! The burst size of a rate limit.

use crate::counted_unit;

counted_unit!(
    /// Number of requests that a client account may send at once beyond its rate; 1 to 1,000,000.
    Burst,
    "burst",
    1,
    1_000_000
);
