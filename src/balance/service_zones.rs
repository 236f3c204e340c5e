//! What an ingress knows of the zones of one service.

use std::time::Duration;

use crate::balance::{OtherZone, OverflowShare, ZoneCounts, ZonePressure, ZoneRoom};
use crate::hash::FastMap;
use crate::ids::ZoneId;
use crate::time::MonoTime;
use crate::wire::{HealthState, InstancePhase, InstanceRecord};

/// Part of its slots with which a zone takes part in the choice however busy it is.
const MIN_SPARE_PART: f64 = 0.02;
/// Spare part of the emptiest zone below which only some requests are offered to other zones, as most
/// would be refused there.
const SCARCE_SPARE_PART: f64 = 0.3;
/// Change of the overflow share from which it is logged again.
const LOGGED_CHANGE: f64 = 0.25;

/// A change of the overflow share that is worth a log line.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ShareChange {
    /// The share logged last.
    pub from: f64,
    /// The present share.
    pub to: f64,
    /// The pressure of the own zone.
    pub pressure: f64,
}

/// Pressures, overflow share and counts of one service.
#[derive(Debug)]
pub struct ServiceZones {
    home: ZonePressure,
    others: FastMap<ZoneId, ZonePressure>,
    share: OverflowShare,
    logged_share: f64,
    /// Counts of the requests served.
    pub counts: ZoneCounts,
}

impl Default for ServiceZones {
    fn default() -> Self {
        Self {
            home: ZonePressure::home(),
            others: FastMap::default(),
            share: OverflowShare::default(),
            logged_share: 0.0,
            counts: ZoneCounts::default(),
        }
    }
}

impl ServiceZones {
    /// Draws whether a request belongs to the overflow share.
    pub fn draw_overflow(&self, now: MonoTime, rng: &mut fastrand::Rng) -> bool {
        self.share.draw(now, rng)
    }

    /// Records that a request found a free slot in the own zone.
    pub fn on_home_free(&mut self, now: MonoTime, rng: &mut fastrand::Rng) {
        self.home.on_free(now);
        self.share.adjust(self.home.level(now), false, now, rng);
    }

    /// Records that a request found no free slot in the own zone, where it expects to wait for
    /// `wait`, of which `limit` leaves enough time.
    pub fn on_home_busy(
        &mut self,
        wait: Duration,
        limit: Duration,
        room: &ZoneRoom,
        now: MonoTime,
        rng: &mut fastrand::Rng,
    ) {
        self.home.on_wait(wait, limit, now);
        let pressure = self.home.level(now);
        self.share.adjust(pressure, room.is_reduced(), now, rng);
    }

    /// Records that an instance of another zone responded, and whether it was busy.
    pub fn on_other(&mut self, zone: &ZoneId, is_busy: bool, now: MonoTime) {
        let pressure = self.other(zone);
        match is_busy {
            true => pressure.on_wait(Duration::from_secs(1), Duration::from_secs(1), now),
            false => pressure.on_free(now),
        }
    }

    /// Records that the path to an instance of another zone failed.
    pub fn on_other_unreachable(&mut self, zone: &ZoneId, now: MonoTime) {
        let pressure = self.other(zone);
        pressure.on_unreachable(now);
    }

    /// Draws a zone other than `own` in proportion to the spare slots.
    pub fn draw_other(
        &self,
        records: &[InstanceRecord],
        own: &ZoneId,
        is_reachable: impl Fn(&InstanceRecord) -> bool,
        now: MonoTime,
        rng: &mut fastrand::Rng,
    ) -> OtherZone {
        let mut spare: Vec<(&ZoneId, f64)> = Vec::new();
        let mut largest_part: f64 = 0.0;
        for record in records {
            let pressure = self.others.get(&record.zone);
            let is_usable = record.zone != *own
                && pressure.is_none_or(|pressure| !pressure.is_unreachable(now))
                && record.phase == InstancePhase::Ready
                && record.health == HealthState::Healthy
                && is_reachable(record);
            if !is_usable {
                continue;
            }
            let part = self.spare_part(&record.zone, now);
            largest_part = largest_part.max(part);
            let slots = f64::from(record.slots.get()) * part;
            match spare.iter_mut().find(|(zone, _)| **zone == record.zone) {
                Some((_, total)) => *total += slots,
                None => spare.push((&record.zone, slots)),
            }
        }
        let total: f64 = spare.iter().map(|(_, slots)| slots).sum();
        let mut point = rng.f64() * total;
        let drawn = spare.iter().find(|(_, slots)| {
            point -= slots;
            point < 0.0
        });
        match drawn.or(spare.last()) {
            None => OtherZone::Missing,
            Some(_) if rng.f64() > (largest_part / SCARCE_SPARE_PART).powi(3) => OtherZone::Full,
            Some((zone, _)) => OtherZone::Found((*zone).clone()),
        }
    }

    /// Returns the present overflow share.
    #[must_use]
    pub fn share(&self, now: MonoTime) -> f64 {
        self.share.value(now)
    }

    /// Returns the change of the overflow share since the last call that returned one, if it is
    /// large or the share has become zero.
    pub fn take_share_change(&mut self, now: MonoTime) -> Option<ShareChange> {
        let to = self.share(now);
        let from = self.logged_share;
        let has_ended = to == 0.0 && from > 0.0;
        if (to - from).abs() < LOGGED_CHANGE && !has_ended {
            return None;
        }
        self.logged_share = to;
        let pressure = self.home.level(now);
        Some(ShareChange { from, to, pressure })
    }

    /// The internal state as JSON, for the diagnostic dump.
    #[must_use]
    pub fn dump(&self, now: MonoTime) -> serde_json::Value {
        let others: serde_json::Map<_, _> = self
            .others
            .iter()
            .map(|(zone, pressure)| (zone.to_string(), serde_json::json!(pressure)))
            .collect();
        serde_json::json!({
            "share": self.share(now),
            "pressure": self.home.level(now),
            "others": others,
            "counts": self.counts,
        })
    }

    fn other(&mut self, zone: &ZoneId) -> &mut ZonePressure {
        let pressure = self.others.entry(zone.clone());
        pressure.or_insert_with(ZonePressure::other)
    }

    /// The part of the zone's slots that counts as spare.
    fn spare_part(&self, zone: &ZoneId, now: MonoTime) -> f64 {
        match self.others.get(zone) {
            None => 1.0,
            Some(pressure) => (1.0 - pressure.level(now)).max(MIN_SPARE_PART),
        }
    }
}
