//! Ages of the last contact between the own zone's relays and each other zone.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::hash::name_hash;
use crate::ids::ZoneId;
use crate::time::MonoTime;
use crate::wire::ZoneContact;

/// Age from which a zone counts as silent, for one other zone and a single daemon.
const SILENCE_BASE: Duration = Duration::from_millis(3_500);
/// Added for each further zone, since a relay probes one zone a second.
const SILENCE_PER_ZONE: Duration = Duration::from_secs(1);
/// Added for each doubling of the own zone, through which the ages pass. The greatest age seen while
/// all is well is 5.8 s in zones of 33 and 6.9 s in zones of 100 daemons, of three zones.
const SILENCE_PER_DOUBLING: Duration = Duration::from_millis(600);
/// Unit of the ages in messages.
const AGE_UNIT_MILLIS: u128 = 100;
/// Added to an age whenever it is passed on. It exceeds the time that a message travels, so that an
/// age never becomes smaller by travelling.
const HOP_AGE: Duration = Duration::from_millis(200);
/// Zones listed in a message.
const MAX_LISTED: usize = 32;

/// When a relay of the own zone last exchanged messages with each other zone, as known here.
#[derive(Debug, Default)]
pub struct ZoneContacts {
    /// By zone: the tag in messages, and the time.
    contacts: BTreeMap<ZoneId, (u16, MonoTime)>,
}

impl ZoneContacts {
    /// Adds a zone; one that is new counts as in contact at `now`.
    pub fn add_zone(&mut self, zone: &ZoneId, now: MonoTime) {
        if !self.contacts.contains_key(zone) {
            self.mark(zone, now);
        }
    }

    /// Records that this daemon, a relay, was answered from `zone`.
    pub fn mark(&mut self, zone: &ZoneId, now: MonoTime) {
        self.contacts.insert(zone.clone(), (tag_of(zone), now));
    }

    /// The ages to pass on to daemons of the own zone.
    #[must_use]
    pub fn ages(&self, now: MonoTime) -> Vec<ZoneContact> {
        let listed = self.contacts.values().take(MAX_LISTED);
        let ages = listed.map(|(zone, at)| {
            let age = (now.since(*at) + HOP_AGE).as_millis() / AGE_UNIT_MILLIS;
            ZoneContact {
                zone: *zone,
                age: u16::try_from(age).unwrap_or(u16::MAX),
            }
        });
        ages.collect()
    }

    /// Takes over the ages that a daemon of the own zone knows, where they are smaller.
    pub fn merge(&mut self, ages: &[ZoneContact], now: MonoTime) {
        for (zone, at) in self.contacts.values_mut() {
            let Some(contact) = ages.iter().find(|contact| contact.zone == *zone) else {
                continue;
            };
            let millis = u64::from(contact.age) * AGE_UNIT_MILLIS as u64;
            let micros = now.micros().saturating_sub(millis * 1_000);
            *at = (*at).max(MonoTime::from_micros(micros));
        }
    }

    /// The zones with which no relay of the own zone, which has `daemons`, is in contact at `now`.
    pub fn silent_zones(&self, daemons: usize, now: MonoTime) -> impl Iterator<Item = &ZoneId> {
        let further = u32::try_from(self.contacts.len().saturating_sub(1)).unwrap_or(u32::MAX);
        let doublings = daemons.max(1).ilog2();
        let silence = SILENCE_BASE
            + SILENCE_PER_ZONE.saturating_mul(further)
            + SILENCE_PER_DOUBLING * doublings;
        let contacts = self.contacts.iter();
        contacts
            .filter(move |(_, (_, at))| now.since(*at) > silence)
            .map(|(zone, _)| zone)
    }
}

#[expect(clippy::cast_possible_truncation, reason = "the lowest bits are meant")]
fn tag_of(zone: &ZoneId) -> u16 {
    name_hash(zone.as_str()) as u16
}
