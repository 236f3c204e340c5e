//! What one response of the store says about the evacuated zones.

use crate::evacuation::EvacuatedZones;
use crate::ids::ZoneId;

/// The part of a response of the store that concerns evacuations.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EvacuationUpdate {
    /// All evacuated zones, as after a read.
    Whole(EvacuatedZones),
    /// The zones that were taken out of service or put back since the last response, in the order of
    /// the changes, as after a watch.
    Changes(Vec<ZoneChange>),
}

/// A change of one zone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ZoneChange {
    /// The zone was taken out of service.
    Out(ZoneId),
    /// The zone was put back.
    Back(ZoneId),
}

impl EvacuationUpdate {
    /// The response of a watch that reports no change.
    #[must_use]
    pub const fn unchanged() -> Self {
        Self::Changes(Vec::new())
    }
}
