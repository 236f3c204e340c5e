//! Evacuation of availability zones: which zones are out of service, since which state of the store
//! this is known, and what follows for the instances of a zone.

mod avoided_zones;
mod evacuated_zones;
mod evacuation_report;
mod evacuation_state;
mod evacuation_update;
mod record_filter;
mod zone_gate;

pub use avoided_zones::AvoidedZones;
pub use evacuated_zones::EvacuatedZones;
pub use evacuation_report::{EvacuationDigest, EvacuationMark, EvacuationReport};
pub use evacuation_state::EvacuationState;
pub use evacuation_update::{EvacuationUpdate, ZoneChange};
pub use record_filter::RecordFilter;
pub use zone_gate::ZoneGate;
