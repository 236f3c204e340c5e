//! The set of availability zones that are out of service.

use std::collections::BTreeSet;
use std::fmt;

use bincode::{Decode, Encode};
use serde::Serialize;

use crate::hash::name_hash;
use crate::ids::ZoneId;

/// The availability zones whose instances get no requests. There are few, so copies are cheap.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Encode, Decode)]
#[serde(transparent)]
pub struct EvacuatedZones(BTreeSet<ZoneId>);

impl EvacuatedZones {
    /// Whether `zone` is out of service.
    #[must_use]
    pub fn contains(&self, zone: &ZoneId) -> bool {
        self.0.contains(zone)
    }

    /// Whether all zones are in service.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Number of zones that are out of service.
    #[must_use]
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// The zones that are out of service, sorted.
    pub fn iter(&self) -> impl Iterator<Item = &ZoneId> {
        self.0.iter()
    }

    /// The zones of this set that are not in `other`, sorted.
    pub fn difference<'a>(&'a self, other: &'a Self) -> impl Iterator<Item = &'a ZoneId> {
        self.0.difference(&other.0)
    }

    /// Takes `zone` out of service.
    pub fn insert(&mut self, zone: ZoneId) {
        self.0.insert(zone);
    }

    /// Puts `zone` back into service.
    pub fn remove(&mut self, zone: &ZoneId) {
        self.0.remove(zone);
    }

    /// A number that differs between different sets; 0 for the empty set.
    #[must_use]
    pub fn digest(&self) -> u64 {
        let hashes = self.0.iter().map(|zone| name_hash(zone.as_str()));
        hashes.fold(0, |digest, hash| digest ^ hash)
    }
}

impl FromIterator<ZoneId> for EvacuatedZones {
    fn from_iter<I: IntoIterator<Item = ZoneId>>(zones: I) -> Self {
        Self(zones.into_iter().collect())
    }
}

impl fmt::Display for EvacuatedZones {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.0.is_empty() {
            return formatter.write_str("none");
        }
        let names: Vec<&str> = self.0.iter().map(ZoneId::as_str).collect();
        formatter.write_str(&names.join(", "))
    }
}
