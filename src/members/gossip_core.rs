//! The membership protocol as a state machine.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use crate::hash::FastSet;
use crate::ids::{DaemonId, Incarnation, InstanceId, Revision, ServiceId};
use crate::members::{
    ChangeKey, ChangeQueue, FleetView, GossipAction, GossipCounters, LiveMember, MemberChange,
    OwnInstances, ProbeCycle, RelayTable,
};
use crate::time::{Deadline, MonoTime};
use crate::wire::{InstancePhase, InstanceRecord, MemberRecord, MemberState};

pub(super) const OWN_FANOUT: usize = 4;
const CONTACT_INTERVAL: Duration = Duration::from_secs(5);
const LONELY_INTERVAL: Duration = Duration::from_secs(1);
const FORGET_INTERVAL: Duration = Duration::from_secs(30);
const SILENCE: Duration = Duration::from_millis(2500);
const CUT_OFF_WAIT: Duration = Duration::from_secs(30);

/// Decides what to send, and what to believe.
#[derive(Debug)]
pub struct GossipCore {
    pub(super) view: FleetView,
    pub(super) cycle: ProbeCycle,
    pub(super) queue: ChangeQueue,
    pub(super) relays: RelayTable,
    pub(super) own: OwnInstances,
    pub(super) counters: GossipCounters,
    pub(super) revision: Revision,
    pub(super) joined: bool,
    pub(super) differing_in_row: u32,
    pub(super) pull_after: Deadline,
    heard: MonoTime,
    contacts: Vec<SocketAddr>,
    contact_at: Deadline,
    forget_at: Deadline,
}

impl GossipCore {
    /// A daemon that knows only itself and the addresses in `contacts`.
    ///
    /// The incarnation of `own` should lie above that of its earlier boots.
    #[must_use]
    pub fn open(
        own: MemberRecord,
        contacts: Vec<SocketAddr>,
        now: MonoTime,
        rng: &mut fastrand::Rng,
    ) -> Self {
        let mut queue = ChangeQueue::default();
        queue.push(ChangeKey::Member(own.daemon.clone()));
        let mut core = Self {
            cycle: ProbeCycle::open(own.region.clone(), now, rng),
            own: OwnInstances::open(own.incarnation),
            view: FleetView::open(own),
            queue,
            relays: RelayTable::default(),
            counters: GossipCounters::default(),
            revision: Revision::default(),
            joined: false,
            differing_in_row: 0,
            pull_after: Deadline::at(now),
            heard: now,
            contacts: Vec::new(),
            contact_at: Deadline::at(now),
            forget_at: now.after(FORGET_INTERVAL),
        };
        core.add_contacts(contacts);
        core
    }

    /// Adds addresses at which daemons may be found.
    pub fn add_contacts(&mut self, contacts: Vec<SocketAddr>) {
        let own = self.view.own().address;
        for contact in contacts {
            if contact != own && !self.contacts.contains(&contact) {
                self.contacts.push(contact);
            }
        }
    }

    /// Sets the configuration revision that messages carry.
    pub const fn set_revision(&mut self, revision: Revision) {
        self.revision = revision;
    }

    /// Moves on to `now`.
    pub fn tick(&mut self, now: MonoTime, rng: &mut fastrand::Rng) -> Vec<GossipAction> {
        let mut actions = Vec::new();
        self.relays.expire(now);
        for step in self.cycle.tick(self.view.members(), now, rng) {
            self.carry_out(step, now, rng, &mut actions);
        }
        self.bury_expired(now);
        self.bury_orphans(now, rng, &mut actions);
        self.reach_out(now, rng, &mut actions);
        if self.forget_at.has_passed(now) {
            self.forget_at = now.after(FORGET_INTERVAL);
            self.view.forget(now);
        }
        actions
    }

    /// Publishes the record of an instance beside this daemon.
    pub fn publish(
        &mut self,
        record: &InstanceRecord,
        now: MonoTime,
        rng: &mut fastrand::Rng,
    ) -> Vec<GossipAction> {
        if let Some(known) = self.view.records().get(&record.instance) {
            self.own.outrank(known.incarnation);
        }
        match self.own.publish(record) {
            Some(stamped) => self.announce(&stamped, now, rng),
            None => Vec::new(),
        }
    }

    /// Publishes that an instance beside this daemon is gone.
    pub fn remove(
        &mut self,
        instance: &InstanceId,
        now: MonoTime,
        rng: &mut fastrand::Rng,
    ) -> Vec<GossipAction> {
        match self.own.remove(instance) {
            Some(record) => self.publish_gone(record, now, rng),
            None => Vec::new(),
        }
    }

    /// Tells several members at once that this daemon leaves.
    pub fn leave(&mut self, rng: &mut fastrand::Rng) -> Vec<GossipAction> {
        let left = self.view.own().in_state(MemberState::Left);
        self.queue.push(ChangeKey::Member(left.daemon.clone()));
        self.view.set_own(left);
        let mut actions = Vec::new();
        self.push_to_some(2 * OWN_FANOUT, rng, &mut actions);
        actions
    }

    /// Every live member, this daemon first.
    #[must_use]
    pub fn live(&self) -> Vec<LiveMember> {
        self.view.live()
    }

    /// The records of `service` whose daemons are live.
    pub fn instances_of(&mut self, service: &ServiceId) -> Rc<[InstanceRecord]> {
        self.view.instances_of(service)
    }

    /// What this daemon believes.
    #[must_use]
    pub const fn view(&self) -> &FleetView {
        &self.view
    }

    /// Counts since the start.
    #[must_use]
    pub const fn counters(&self) -> &GossipCounters {
        &self.counters
    }

    /// The counts, for the caller that sends and receives.
    pub const fn counters_mut(&mut self) -> &mut GossipCounters {
        &mut self.counters
    }

    /// Number of changes that still ride on messages.
    #[must_use]
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    pub(super) const fn note_heard(&mut self, now: MonoTime) {
        self.heard = now;
    }

    /// Merges the stamped record of an own instance and pushes it.
    pub(super) fn announce(
        &mut self,
        record: &InstanceRecord,
        now: MonoTime,
        rng: &mut fastrand::Rng,
    ) -> Vec<GossipAction> {
        self.view.merge_record(record, now);
        self.queue
            .push(ChangeKey::Instance(record.instance.clone()));
        let mut actions = Vec::new();
        self.push_to_some(OWN_FANOUT, rng, &mut actions);
        actions
    }

    fn publish_gone(
        &mut self,
        mut record: InstanceRecord,
        now: MonoTime,
        rng: &mut fastrand::Rng,
    ) -> Vec<GossipAction> {
        record.phase = InstancePhase::Gone;
        record.incarnation = self.own.next_stamp();
        self.announce(&record, now, rng)
    }

    /// Declares members dead whose suspicion was not refuted in time.
    fn bury_expired(&mut self, now: MonoTime) {
        // A daemon that is cut off itself keeps its view: the others are likely alive.
        let cut_off = self.cycle.is_cut_off() || now.since(self.heard) > SILENCE;
        let grace = match cut_off {
            true => CUT_OFF_WAIT,
            false => Duration::ZERO,
        };
        for record in self.view.members().expired(grace, now) {
            let dead = record.in_state(MemberState::Dead);
            let change = self.view.merge_member(&dead, 0, now);
            debug_assert_eq!(change, MemberChange::Liveness);
            self.counters.deaths += 1;
            self.queue.push(ChangeKey::Member(dead.daemon));
        }
    }

    fn bury_orphans(
        &mut self,
        now: MonoTime,
        rng: &mut fastrand::Rng,
        actions: &mut Vec<GossipAction>,
    ) {
        for orphan in self.own.take_orphans(now) {
            actions.extend(self.publish_gone(orphan, now, rng));
        }
    }

    /// Pings an address that is no live member's: a seed, or a member thought dead.
    fn reach_out(
        &mut self,
        now: MonoTime,
        rng: &mut fastrand::Rng,
        actions: &mut Vec<GossipAction>,
    ) {
        if !self.contact_at.has_passed(now) {
            return;
        }
        let lonely = self.view.members().live_count() == 0;
        let (interval, most) = match lonely {
            true => (LONELY_INTERVAL, 3),
            false => (CONTACT_INTERVAL, 1),
        };
        self.contact_at = now.after(interval);
        let mut strangers = self.strangers();
        rng.shuffle(&mut strangers);
        for (address, daemon) in strangers.into_iter().take(most) {
            self.ping(address, daemon.as_ref(), rng, actions);
        }
    }

    fn strangers(&self) -> Vec<(SocketAddr, Option<DaemonId>)> {
        let members = self.view.members();
        let live: FastSet<_> = members.live().map(|record| record.address).collect();
        let dead = members.entries().map(|entry| &entry.record);
        let dead = dead.filter(|record| record.state == MemberState::Dead);
        let dead = dead.map(|record| (record.address, Some(record.daemon.clone())));
        let contacts = self.contacts.iter().map(|address| (*address, None));
        let mut strangers: Vec<_> = dead
            .chain(contacts)
            .filter(|(address, _)| !live.contains(address))
            .collect();
        strangers.sort_unstable();
        strangers
    }

    /// The stamp of this daemon's own record.
    #[must_use]
    pub const fn incarnation(&self) -> Incarnation {
        self.view.own().incarnation
    }
}
