//! Zones whose egresses refuse requests because of an evacuation that this daemon has not heard of.

use std::time::Duration;

use crate::evacuation::EvacuatedZones;
use crate::hash::FastMap;
use crate::ids::ZoneId;
use crate::time::{Deadline, MonoTime};

/// How long a zone is avoided after a refusal. The news usually arrives earlier; if the egress itself
/// is behind, an offer a second finds out.
const AVOIDANCE: Duration = Duration::from_secs(1);

/// The zones to avoid until their evacuation is known or turns out to be over.
#[derive(Debug, Default)]
pub struct AvoidedZones {
    zones: FastMap<ZoneId, Deadline>,
    /// The evacuated zones that were known at the first refusal.
    known: EvacuatedZones,
}

impl AvoidedZones {
    /// Avoids `zone` after a refusal at `now`, while `known` are the evacuated zones known here. Returns
    /// whether it was not avoided before.
    pub fn avoid(&mut self, zone: ZoneId, known: &EvacuatedZones, now: MonoTime) -> bool {
        if self.known != *known {
            self.zones.clear();
            self.known.clone_from(known);
        }
        let before = self.zones.insert(zone, now.after(AVOIDANCE));
        before.is_none_or(|until| until.has_passed(now))
    }

    /// The zones that get no requests at `now`: the evacuated zones `known` here and the avoided ones.
    /// None when these are just `known`.
    ///
    /// Any change of the known zones ends the avoidance.
    pub fn closed_zones(
        &mut self,
        known: &EvacuatedZones,
        now: MonoTime,
    ) -> Option<EvacuatedZones> {
        if self.zones.is_empty() {
            return None;
        }
        if self.known != *known {
            self.zones.clear();
        }
        self.zones.retain(|_, until| !until.has_passed(now));
        if self.zones.is_empty() {
            return None;
        }
        let zones = known.iter().chain(self.zones.keys());
        Some(zones.cloned().collect())
    }
}
