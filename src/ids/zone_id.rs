//! Names of availability zones.

use crate::name_id;

name_id!(
    /// The name of an availability zone.
    ZoneId,
    "availability zone"
);
