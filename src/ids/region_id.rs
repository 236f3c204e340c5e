//! The `RegionId` identifier.

use crate::name_id;

name_id!(
    /// Names a region.
    RegionId,
    "region"
);
