//! What `GossipCore` keeps for the passage of membership between zones.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::ids::ZoneId;
use crate::members::{FailureDetector, ZoneContacts, ZoneCrossings, ZoneRelays};
use crate::time::{Deadline, MonoTime};
use crate::wire::MemberRecord;

/// Time after its start in which a daemon learns the members of its zone before it may act as a
/// relay, so that in a start of all daemons few take themselves for one.
const SETTLE_TIME: Duration = Duration::from_millis(1_500);
/// Time after its start in which a daemon pulls from its zone whenever views differ.
const JOIN_TIME: Duration = Duration::from_secs(20);

/// How a daemon may be contacted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ZoneReach {
    /// Without restriction: there are no relays, or its zone is out of their reach.
    Direct,
    /// It is in the own zone.
    OwnZone,
    /// It is in another zone, for which this daemon is a relay.
    Relayed,
    /// It is in another zone, which this daemon leaves to the relays.
    Closed,
    /// It is not known as a member.
    Unknown,
}

/// Relays, contacts and pending changes of the zones.
#[derive(Debug)]
pub(super) struct ZoneState {
    pub(super) relays: ZoneRelays,
    pub(super) contacts: ZoneContacts,
    pub(super) crossings: ZoneCrossings,
    /// Probes of the relays of other zones.
    pub(super) relay_probes: FailureDetector,
    /// Probes of the relays of the own zone.
    pub(super) partner_probes: FailureDetector,
    /// Zones whose relays are out of reach, so that they are contacted directly.
    pub(super) open_zones: BTreeSet<ZoneId>,
    /// Zones from which this daemon has pulled.
    pub(super) pulled_zones: BTreeSet<ZoneId>,
    pub(super) flush_at: Deadline,
    /// Until when this daemon counts as starting.
    pub(super) joined_at: Deadline,
    /// Whether this daemon acted as a relay at the last tick.
    pub(super) was_relay: bool,
    /// When urgent changes are pushed once more.
    pub(super) repeat_at: Option<Deadline>,
    /// Whether the other relays of the zone have yet to be told of changes.
    pub(super) needs_sync: bool,
}

impl ZoneState {
    /// Creates the state for `count` relays a zone; 0 means that there are none.
    pub(super) fn open(
        own: &MemberRecord,
        count: usize,
        now: MonoTime,
        rng: &mut fastrand::Rng,
    ) -> Self {
        let region = &own.region;
        Self {
            relays: ZoneRelays::open(own, count, now.after(SETTLE_TIME)),
            contacts: ZoneContacts::default(),
            crossings: ZoneCrossings::default(),
            relay_probes: FailureDetector::open(region.clone(), now, rng),
            partner_probes: FailureDetector::open(region.clone(), now, rng),
            open_zones: BTreeSet::new(),
            pulled_zones: BTreeSet::new(),
            flush_at: Deadline::at(now),
            joined_at: now.after(JOIN_TIME),
            was_relay: false,
            repeat_at: None,
            needs_sync: false,
        }
    }
}
