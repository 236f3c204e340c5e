//! The part of a service's instances that a pick is limited to.

use crate::ids::{InstanceId, ZoneId};
use crate::wire::InstanceRecord;

/// The instances that may be picked. The capacity floor is computed from all records in any case.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum PickScope<'a> {
    /// All instances, also those behind blocked paths if there are no others.
    #[default]
    All,
    /// The reachable instances in a zone.
    Zone(&'a ZoneId),
    /// The reachable instances outside a zone.
    OutsideZone(&'a ZoneId),
    /// One instance.
    Instance(&'a InstanceId),
}

impl PickScope<'_> {
    /// Whether the instance of `record` may be picked.
    #[must_use]
    pub fn includes(self, record: &InstanceRecord) -> bool {
        match self {
            Self::All => true,
            Self::Zone(zone) => record.zone == *zone,
            Self::OutsideZone(zone) => record.zone != *zone,
            Self::Instance(instance) => record.instance == *instance,
        }
    }

    /// Whether instances behind blocked paths may be picked for lack of others.
    #[must_use]
    pub const fn includes_unreachable(self) -> bool {
        matches!(self, Self::All | Self::Instance(_))
    }
}
