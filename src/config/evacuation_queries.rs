//! What the configuration says of evacuated availability zones, whichever way it is followed.

use std::cell::Ref;
use std::time::Duration;

use crate::config::ConfigHandle;
use crate::evacuation::{EvacuatedZones, ZoneGate};
use crate::ids::ZoneId;

impl ConfigHandle {
    /// The evacuated zones. The borrow must not be held across an await.
    #[must_use]
    pub fn evacuated_zones(&self) -> Ref<'_, EvacuatedZones> {
        let follower = self.driver.follower.borrow();
        match follower.follows_document() {
            true => self.driver.evacuations.zones(),
            false => Ref::map(follower, |follower| follower.catalog().evacuated_zones()),
        }
    }

    /// Time since the evacuated zones were confirmed by the store; none before they are known.
    #[must_use]
    pub fn evacuation_age(&self) -> Option<Duration> {
        let now = self.driver.sources.clock.now();
        let follower = self.driver.follower.borrow();
        match follower.follows_document() {
            true => self.driver.evacuations.age(now),
            false => follower.lease().confirmation_age(now),
        }
    }

    /// Whether requests may be sent to the instances of `zone`.
    #[must_use]
    pub fn zone_gate(&self, zone: &ZoneId) -> ZoneGate {
        if !self.is_loaded() {
            return ZoneGate::Unknown;
        }
        match self.evacuated_zones().contains(zone) {
            true => ZoneGate::Evacuated,
            false => ZoneGate::Open,
        }
    }
}
