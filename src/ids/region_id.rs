//! Names of regions.

use crate::name_id;

name_id!(
    /// The name of a region, which contains availability zones.
    RegionId,
    "region"
);
