//! The maximum number of instances that a request is sent to.

use crate::counted_unit;

counted_unit!(
    /// Maximum number of instances that one request may be sent to, retries included; 1 to 16.
    AttemptLimit,
    "attempts",
    1,
    16
);
