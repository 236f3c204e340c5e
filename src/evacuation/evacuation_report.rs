//! What a daemon tells another one about the evacuated zones.

use bincode::{Decode, Encode};
use serde::Serialize;

use crate::evacuation::EvacuatedZones;
use crate::ids::{StoreEra, Version};

/// The state of the store that a set of evacuated zones belongs to; later states are greater.
///
/// A store that came back from a copy issues versions again, under a higher era.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Encode, Decode,
)]
pub struct EvacuationMark {
    /// Era of the store.
    pub era: StoreEra,
    /// Version of the whole store within the era.
    pub version: Version,
}

/// What a daemon knows of the evacuated zones, short enough for each question to another daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
pub struct EvacuationDigest {
    /// The newest state of the store that it knows.
    pub mark: EvacuationMark,
    /// The digest of the set of zones.
    pub digest: u64,
}

/// The evacuated zones as one daemon knows them.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct EvacuationReport {
    /// The newest state of the store that it knows.
    pub mark: EvacuationMark,
    /// The zones that are out of service in this state.
    pub zones: EvacuatedZones,
    /// Time since the store was in this state, in microseconds.
    pub age_micros: u64,
}

impl EvacuationReport {
    /// Whether the report tells a daemon something that knows only `known`: a later state with another
    /// set of zones.
    #[must_use]
    pub fn is_news_to(&self, known: Option<EvacuationDigest>) -> bool {
        known.is_none_or(|known| self.mark > known.mark && self.zones.digest() != known.digest)
    }
}
