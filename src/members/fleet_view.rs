//! What this daemon believes of the fleet, itself included.

use std::rc::Rc;

use crate::hash::{FastMap, FastSet};
use crate::ids::{DaemonId, ServiceId};
use crate::members::member_table::digest_of;
use crate::members::name_digest::lies_in;
use crate::members::{
    LiveMember, MemberChange, MemberTable, NameDigest, RecordChange, RecordTable,
};
use crate::time::MonoTime;
use crate::wire::{
    BucketDigest, InstancePhase, InstanceRecord, MemberRecord, OwnerDigest, OwnerState,
};

const OWNERS_PER_BUCKET: usize = 16;

/// Members, instance records, and digests of both for comparison with peers.
#[derive(Debug)]
pub struct FleetView {
    own: MemberRecord,
    own_owner: u32,
    members: MemberTable,
    records: RecordTable,
    cache: FastMap<ServiceId, Rc<[InstanceRecord]>>,
    strays: FastSet<DaemonId>,
}

impl FleetView {
    /// A view that knows this daemon alone.
    #[must_use]
    pub fn open(own: MemberRecord) -> Self {
        Self {
            own_owner: Self::owner_of(&own.daemon),
            own,
            members: MemberTable::default(),
            records: RecordTable::default(),
            cache: FastMap::default(),
            strays: FastSet::default(),
        }
    }

    /// The hash by which owners are ordered.
    #[must_use]
    pub fn owner_of(daemon: &DaemonId) -> u32 {
        NameDigest::of(daemon.as_str(), 0).low()
    }

    /// This daemon's own record.
    #[must_use]
    pub const fn own(&self) -> &MemberRecord {
        &self.own
    }

    /// Replaces this daemon's own record.
    pub fn set_own(&mut self, own: MemberRecord) {
        self.own = own;
    }

    /// The other daemons.
    #[must_use]
    pub const fn members(&self) -> &MemberTable {
        &self.members
    }

    /// The instance records.
    #[must_use]
    pub const fn records(&self) -> &RecordTable {
        &self.records
    }

    /// Notes that a datagram came from `daemon`.
    pub fn hear(&mut self, daemon: &DaemonId, now: MonoTime) {
        self.members.hear(daemon, now);
    }

    /// The record of `daemon`, be it this one.
    #[must_use]
    pub fn member(&self, daemon: &DaemonId) -> Option<&MemberRecord> {
        if *daemon == self.own.daemon {
            return Some(&self.own);
        }
        self.members.get(daemon).map(|entry| &entry.record)
    }

    /// Whether the records of `daemon` count: it is live, or this daemon itself.
    #[must_use]
    pub fn is_live(&self, daemon: &DaemonId) -> bool {
        *daemon == self.own.daemon || self.members.is_live(daemon)
    }

    /// Takes in a record of another daemon.
    pub fn merge_member(
        &mut self,
        record: &MemberRecord,
        awareness: u32,
        now: MonoTime,
    ) -> MemberChange {
        let change = self.members.merge(record, awareness, now);
        if change == MemberChange::Liveness {
            for owned in self.records.of_owner(&record.daemon) {
                self.cache.remove(&owned.service);
            }
        }
        change
    }

    /// Takes in a record of an instance.
    pub fn merge_record(&mut self, record: &InstanceRecord, now: MonoTime) -> RecordChange {
        let earlier = self.records.get(&record.instance);
        let earlier = earlier.map(|known| known.service.clone());
        let change = self.records.merge(record, now);
        if change == RecordChange::Newer {
            self.cache.remove(&record.service);
            earlier.map(|service| self.cache.remove(&service));
        }
        change
    }

    /// Every live member, this daemon first.
    #[must_use]
    pub fn live(&self) -> Vec<LiveMember> {
        let others = self.members.live().map(LiveMember::from);
        std::iter::once(LiveMember::from(&self.own))
            .chain(others)
            .collect()
    }

    /// The records of `service` whose daemons are live.
    pub fn instances_of(&mut self, service: &ServiceId) -> Rc<[InstanceRecord]> {
        if let Some(cached) = self.cache.get(service) {
            return Rc::clone(cached);
        }
        let records = self.records.of_service(service).into_iter();
        let live = records.filter(|record| self.is_live(&record.daemon));
        let found: Rc<[InstanceRecord]> = live.cloned().collect();
        self.cache.insert(service.clone(), Rc::clone(&found));
        found
    }

    /// The digest of a random bucket of owners.
    #[must_use]
    pub fn draw_bucket(&self, covers_records: bool, rng: &mut fastrand::Rng) -> BucketDigest {
        let buckets = (self.members.live_count() / OWNERS_PER_BUCKET).max(1);
        let bits = buckets.next_power_of_two().ilog2();
        let bucket = rng.u32(0..1 << bits);
        self.digest_bucket(&BucketDigest {
            bits: u8::try_from(bits).unwrap_or(0),
            bucket,
            covers_records,
            digest: 0,
        })
    }

    /// This daemon's digest of the same bucket as `like`.
    #[must_use]
    pub fn digest_bucket(&self, like: &BucketDigest) -> BucketDigest {
        let digests = self.owners_in(like).map(|(_, digest, _)| digest);
        BucketDigest {
            digest: digests.fold(0, |digest, owner| digest ^ owner),
            ..*like
        }
    }

    /// The digest of each live owner in `bucket`.
    #[must_use]
    pub fn owner_digests(&self, bucket: &BucketDigest) -> Vec<OwnerDigest> {
        let owners = self.owners_in(bucket);
        let mut digests: Vec<_> = owners
            .map(|(owner, digest, _)| short(owner, digest))
            .collect();
        digests.sort_unstable_by_key(|digest| digest.owner);
        digests
    }

    /// The owners in `bucket` of which a peer with the digests `theirs` has another state.
    #[must_use]
    pub fn differing(&self, bucket: &BucketDigest, theirs: &[OwnerDigest]) -> Vec<OwnerState> {
        let theirs: FastMap<u32, u32> = theirs.iter().map(|its| (its.owner, its.digest)).collect();
        let live = self
            .owners_in(bucket)
            .filter(|(owner, digest, _)| theirs.get(owner) != Some(&short(*owner, *digest).digest));
        let dead = self.members.entries().filter(|entry| {
            let known = theirs.contains_key(&entry.owner);
            known && !entry.record.state.is_live() && lies_in(entry.owner, bucket)
        });
        let covers_records = bucket.covers_records;
        let mut states: Vec<_> = live
            .map(|(_, _, member)| self.state_of(member, covers_records))
            .collect();
        states.extend(dead.map(|entry| OwnerState {
            member: entry.record.clone(),
            instances: Vec::new(),
        }));
        states
    }

    /// Forgets members dead for long, their records, and records gone for long.
    pub fn forget(&mut self, now: MonoTime) {
        for daemon in self.members.forget(now) {
            self.records.forget_owner(&daemon);
        }
        self.records.forget_gone(now);
        self.forget_strays();
    }

    /// Forgets records whose daemons stayed unknown since the last sweep.
    fn forget_strays(&mut self) {
        let unknown = self.records.owners();
        let unknown: FastSet<_> = unknown
            .filter(|daemon| self.member(daemon).is_none())
            .cloned()
            .collect();
        for daemon in self.strays.intersection(&unknown) {
            self.records.forget_owner(daemon);
        }
        self.strays = unknown;
    }

    fn state_of(&self, member: &MemberRecord, covers_records: bool) -> OwnerState {
        let records = self.records.of_owner(&member.daemon);
        let records = records.filter(|_| covers_records);
        let mut instances: Vec<_> = records.cloned().collect();
        // Gone records go last: they are of use only to who still holds the older one.
        instances.sort_unstable_by_key(|record| record.phase == InstancePhase::Gone);
        OwnerState {
            member: member.clone(),
            instances,
        }
    }

    fn owners_in(
        &self,
        bucket: &BucketDigest,
    ) -> impl Iterator<Item = (u32, u64, &MemberRecord)> + use<'_> {
        let bucket = *bucket;
        let own = (self.own_owner, digest_of(&self.own), &self.own);
        let own = self.own.state.is_live().then_some(own).into_iter();
        let live = self.members.entries();
        let live = live.filter(|entry| entry.record.state.is_live());
        own.chain(live.map(|entry| (entry.owner, entry.digest, &entry.record)))
            .filter(move |(owner, ..)| lies_in(*owner, &bucket))
            .map(move |(owner, digest, member)| {
                let records = match bucket.covers_records {
                    true => self.records.digest_of(&member.daemon),
                    false => 0,
                };
                (owner, digest ^ records, member)
            })
    }
}

#[expect(clippy::cast_possible_truncation, reason = "the lower half is meant")]
const fn short(owner: u32, digest: u64) -> OwnerDigest {
    OwnerDigest {
        owner,
        digest: digest as u32,
    }
}
