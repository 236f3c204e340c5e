//! Digests of `FleetView` by which two daemons find the owners whose states differ.
//!
//! The owner of an instance record is the daemon that published it.

use crate::hash::FastMap;
use crate::members::member_table::digest_of;
use crate::members::name_digest::{bucket_bounds, is_in_bucket};
use crate::members::{FleetView, MemberEntry};
use crate::wire::{BucketDigest, InstancePhase, MemberRecord, OwnerDigest, OwnerState};

// Average number of owners per bucket, before the bucket count is rounded up to a power of two.
const OWNERS_PER_BUCKET: usize = 16;

impl FleetView {
    /// Returns the digest of a random bucket of about `OWNERS_PER_BUCKET` owners.
    ///
    /// Instance records are included if `covers_records` is true.
    #[must_use]
    pub fn random_bucket_digest(
        &self,
        covers_records: bool,
        rng: &mut fastrand::Rng,
    ) -> BucketDigest {
        let buckets = (self.members.live_count() / OWNERS_PER_BUCKET).max(1);
        let bits = buckets.next_power_of_two().ilog2();
        let bucket = rng.u32(0..1 << bits);
        self.bucket_digest(&BucketDigest {
            bits: u8::try_from(bits).unwrap_or(0),
            bucket,
            covers_instances: covers_records,
            digest: 0,
        })
    }

    /// Returns this view's digest of the bucket that `like` selects.
    #[must_use]
    pub fn bucket_digest(&self, like: &BucketDigest) -> BucketDigest {
        let digests = self.owners_in(like).map(|(_, digest, _)| digest);
        BucketDigest {
            digest: digests.fold(0, |digest, owner| digest ^ owner),
            ..*like
        }
    }

    /// Returns the digest of each live owner in `bucket`, ordered by owner hash.
    #[must_use]
    pub fn owner_digests(&self, bucket: &BucketDigest) -> Vec<OwnerDigest> {
        let owners = self.owners_in(bucket);
        let mut digests: Vec<_> = owners
            .map(|(owner, digest, _)| truncated(owner, digest))
            .collect();
        digests.sort_unstable_by_key(|digest| digest.owner);
        digests
    }

    /// Returns the states of the owners in `bucket` that differ from a peer's digests `theirs`,
    /// including the dead owners that the peer still lists as live.
    #[must_use]
    pub fn differing_owners(
        &self,
        bucket: &BucketDigest,
        theirs: &[OwnerDigest],
    ) -> Vec<OwnerState> {
        let theirs: FastMap<u32, u32> = theirs.iter().map(|its| (its.owner, its.digest)).collect();
        let live = self.owners_in(bucket).filter(|(owner, digest, _)| {
            theirs.get(owner) != Some(&truncated(*owner, *digest).digest)
        });
        let dead = self.members_in(bucket).filter(|entry| {
            let known = theirs.contains_key(&entry.owner_hash);
            known && !entry.record.state.is_live()
        });
        let covers_records = bucket.covers_instances;
        let mut states: Vec<_> = live
            .map(|(_, _, member)| self.owner_state(member, covers_records))
            .collect();
        states.extend(dead.map(|entry| OwnerState {
            member: entry.record.clone(),
            instances: Vec::new(),
        }));
        states
    }

    fn owner_state(&self, member: &MemberRecord, covers_records: bool) -> OwnerState {
        let records = self.records.of_owner(&member.daemon);
        let records = records.filter(|_| covers_records);
        let mut instances: Vec<_> = records.cloned().collect();
        // Gone records come last: only a peer that still holds an older record needs them.
        instances.sort_unstable_by_key(|record| record.phase == InstancePhase::Gone);
        OwnerState {
            member: member.clone(),
            instances,
        }
    }

    fn members_in(&self, bucket: &BucketDigest) -> impl Iterator<Item = &MemberEntry> + use<'_> {
        let bounds = bucket_bounds(bucket);
        bounds
            .into_iter()
            .flat_map(|(first, last)| self.members.hashed_between(first, last))
    }

    fn owners_in(
        &self,
        bucket: &BucketDigest,
    ) -> impl Iterator<Item = (u32, u64, &MemberRecord)> + use<'_> {
        let bucket = *bucket;
        let own = (self.own_hash, digest_of(&self.own), &self.own);
        let own = self.own.state.is_live().then_some(own).into_iter();
        let own = own.filter(move |(owner, ..)| is_in_bucket(*owner, &bucket));
        let live = self.members_in(&bucket);
        let live = live.filter(|entry| entry.record.state.is_live());
        own.chain(live.map(|entry| (entry.owner_hash, entry.digest, &entry.record)))
            .map(move |(owner, digest, member)| {
                let records = match bucket.covers_instances {
                    true => self.records.digest_of(&member.daemon),
                    false => 0,
                };
                (owner, digest ^ records, member)
            })
    }
}

#[expect(clippy::cast_possible_truncation, reason = "the lower half is meant")]
const fn truncated(owner: u32, digest: u64) -> OwnerDigest {
    OwnerDigest {
        owner,
        digest: digest as u32,
    }
}
