//! The `ZoneId` identifier.

use crate::name_id;

name_id!(
    /// Names an availability zone.
    ZoneId,
    "availability zone"
);
