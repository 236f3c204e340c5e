//! Table of the other daemons, with their newest records and suspicion timers.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use crate::hash::FastMap;
use crate::ids::DaemonId;
use crate::members::{NameDigest, SuspicionTimer};
use crate::time::{Deadline, MonoTime};
use crate::wire::{MemberRecord, MemberState};

// Time that a dead member is kept, so that older records do not revive it.
const DEAD_MEMBER_RETENTION: Duration = Duration::from_secs(600);

/// Effect of merging a member record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemberChange {
    /// The record is older than the known one, or it reports an unknown daemon as not live.
    Stale,
    /// The record says what is already known.
    Same,
    /// The record was newer, or a further report of a suspicion; the liveness stayed the same.
    Newer,
    /// The record added a live member, or a known member became live or stopped being live.
    LivenessChanged,
}

/// State of another daemon.
#[derive(Debug)]
pub struct MemberEntry {
    /// Newest known record of the daemon.
    pub record: MemberRecord,
    /// Hash of the daemon's name, see `FleetView::owner_hash`.
    pub owner_hash: u32,
    /// Digest of the daemon's name and incarnation.
    pub digest: u64,
    /// When the last datagram came from the daemon; absent before the first.
    pub last_heard: Option<MonoTime>,
    suspicion: Option<SuspicionTimer>,
    purge_at: Option<Deadline>,
}

/// Entries of the other daemons, keyed by name.
///
/// Indexes serve the periodic work, whose cost must not grow with the fleet.
#[derive(Debug, Default)]
pub struct MemberTable {
    entries: FastMap<DaemonId, MemberEntry>,
    /// Names of the live members, sorted.
    live: Vec<DaemonId>,
    /// All members by the hash of their names.
    by_hash: BTreeMap<u32, Vec<DaemonId>>,
    /// The member that was seen last at each address.
    by_address: FastMap<SocketAddr, DaemonId>,
    suspects: BTreeSet<DaemonId>,
    dead: BTreeSet<DaemonId>,
    /// Members that stopped being live, in the order in which their retention ends.
    purges: VecDeque<(Deadline, DaemonId)>,
}

impl MemberTable {
    /// Merges a record of another daemon. `consecutive_failures` lengthens the timeout of a
    /// suspicion that the record starts.
    pub fn merge(
        &mut self,
        record: &MemberRecord,
        consecutive_failures: u32,
        now: MonoTime,
    ) -> MemberChange {
        let live = self.live.len() + 1;
        let Some(entry) = self.entries.get_mut(&record.daemon) else {
            return self.insert(record, live, now);
        };
        if !record.supersedes(&entry.record) {
            return entry.merge_not_newer(record);
        }
        let was_live = entry.record.state.is_live();
        entry.replace(record);
        entry.restart_timers(live, consecutive_failures, now);
        let is_live = record.state.is_live();
        self.update_indexes(record, now);
        match was_live == is_live {
            true => MemberChange::Newer,
            false => MemberChange::LivenessChanged,
        }
    }

    fn insert(&mut self, record: &MemberRecord, live: usize, now: MonoTime) -> MemberChange {
        if !record.state.is_live() {
            return MemberChange::Stale;
        }
        let mut entry = MemberEntry {
            owner_hash: NameDigest::of(record.daemon.as_str(), 0).low(),
            digest: digest_of(record),
            record: record.clone(),
            last_heard: None,
            suspicion: None,
            purge_at: None,
        };
        entry.restart_timers(live, 0, now);
        let same_hash = self.by_hash.entry(entry.owner_hash).or_default();
        same_hash.push(record.daemon.clone());
        self.entries.insert(record.daemon.clone(), entry);
        self.update_indexes(record, now);
        MemberChange::LivenessChanged
    }

    /// Updates the indexes after the state of a member has changed to that of `record`.
    fn update_indexes(&mut self, record: &MemberRecord, now: MonoTime) {
        let daemon = &record.daemon;
        self.by_address.insert(record.address, daemon.clone());
        match (self.live.binary_search(daemon), record.state.is_live()) {
            (Err(position), true) => self.live.insert(position, daemon.clone()),
            (Ok(position), false) => {
                self.live.remove(position);
                let end = now.after(DEAD_MEMBER_RETENTION);
                self.purges.push_back((end, daemon.clone()));
            }
            _ => {}
        }
        let indexes = [
            (
                &mut self.suspects,
                matches!(record.state, MemberState::Suspect(_)),
            ),
            (&mut self.dead, record.state == MemberState::Dead),
        ];
        for (index, contains) in indexes {
            match contains {
                true => _ = index.insert(daemon.clone()),
                false => _ = index.remove(daemon),
            }
        }
    }

    /// Returns the entry of `daemon`.
    #[must_use]
    pub fn get(&self, daemon: &DaemonId) -> Option<&MemberEntry> {
        self.entries.get(daemon)
    }

    /// Records that a datagram came from `daemon` at `now`.
    pub fn mark_heard(&mut self, daemon: &DaemonId, now: MonoTime) {
        if let Some(entry) = self.entries.get_mut(daemon) {
            entry.last_heard = Some(now);
        }
    }

    /// Whether `daemon` is known and alive or suspect.
    #[must_use]
    pub fn is_live(&self, daemon: &DaemonId) -> bool {
        self.get(daemon)
            .is_some_and(|entry| entry.record.state.is_live())
    }

    /// Iterates over all entries, in no particular order.
    pub fn entries(&self) -> impl Iterator<Item = &MemberEntry> {
        self.entries.values()
    }

    /// Iterates over the records of live members, ordered by name.
    pub fn live(&self) -> impl Iterator<Item = &MemberRecord> {
        let entries = self.live.iter().filter_map(|daemon| self.get(daemon));
        entries.map(|entry| &entry.record)
    }

    /// Returns the record of the live member at `position` in the order of names.
    #[must_use]
    pub fn live_at(&self, position: usize) -> Option<&MemberRecord> {
        let daemon = self.live.get(position)?;
        self.get(daemon).map(|entry| &entry.record)
    }

    /// Iterates over the records of members that count as dead, ordered by name.
    pub fn dead(&self) -> impl Iterator<Item = &MemberRecord> {
        let entries = self.dead.iter().filter_map(|daemon| self.get(daemon));
        entries.map(|entry| &entry.record)
    }

    /// Iterates over the entries whose hash lies between `first` and `last`, ordered by hash.
    pub fn hashed_between(&self, first: u32, last: u32) -> impl Iterator<Item = &MemberEntry> {
        let within = self.by_hash.range(first..=last);
        let daemons = within.flat_map(|(_, daemons)| daemons);
        daemons.filter_map(|daemon| self.get(daemon))
    }

    /// Returns the record of the live member at `address`.
    #[must_use]
    pub fn live_by_address(&self, address: SocketAddr) -> Option<&MemberRecord> {
        let record = &self.get(self.by_address.get(&address)?)?.record;
        (record.address == address && record.state.is_live()).then_some(record)
    }

    /// Returns the number of live members, without this daemon.
    #[must_use]
    pub const fn live_count(&self) -> usize {
        self.live.len()
    }

    /// Returns the records of members whose suspicion timed out at least `grace` before `now`.
    #[must_use]
    pub fn expired_suspicions(&self, grace: Duration, now: MonoTime) -> Vec<MemberRecord> {
        let is_due = |entry: &&MemberEntry| match &entry.suspicion {
            Some(timer) => (timer.deadline().time() + grace) <= now,
            None => false,
        };
        let suspects = self.suspects.iter().filter_map(|daemon| self.get(daemon));
        let due = suspects.filter(is_due);
        due.map(|entry| entry.record.clone()).collect()
    }

    /// Removes members that have not been live for `DEAD_MEMBER_RETENTION` and returns their names.
    pub fn purge_dead(&mut self, now: MonoTime) -> Vec<DaemonId> {
        let is_due = |entry: &MemberEntry| entry.purge_at.is_some_and(|end| end.has_passed(now));
        let mut purged = Vec::new();
        while self
            .purges
            .front()
            .is_some_and(|(end, _)| end.has_passed(now))
        {
            let Some((_, daemon)) = self.purges.pop_front() else {
                break;
            };
            // The member may have become live since, or stopped being live once more.
            let Some(entry) = self.entries.get(&daemon).filter(|entry| is_due(entry)) else {
                continue;
            };
            let (owner_hash, address) = (entry.owner_hash, entry.record.address);
            self.remove(&daemon, owner_hash, address);
            purged.push(daemon);
        }
        purged
    }

    fn remove(&mut self, daemon: &DaemonId, owner_hash: u32, address: SocketAddr) {
        if let Some(same_hash) = self.by_hash.get_mut(&owner_hash) {
            same_hash.retain(|other| other != daemon);
            if same_hash.is_empty() {
                self.by_hash.remove(&owner_hash);
            }
        }
        if self.by_address.get(&address) == Some(daemon) {
            self.by_address.remove(&address);
        }
        self.dead.remove(daemon);
        self.entries.remove(daemon);
    }
}

impl MemberEntry {
    /// Compares a record that does not outrank the known one; counts a further report of a
    /// suspicion.
    fn merge_not_newer(&mut self, record: &MemberRecord) -> MemberChange {
        let known = &self.record;
        if record.incarnation != known.incarnation || record.state.rank() != known.state.rank() {
            return MemberChange::Stale;
        }
        let confirmed = match (&record.state, &mut self.suspicion) {
            (MemberState::Suspect(reporter), Some(timer)) => timer.confirm(reporter),
            _ => false,
        };
        if !confirmed {
            return MemberChange::Same;
        }
        // The latest reporter is gossiped on, so that other daemons count it too.
        self.record.state = record.state.clone();
        MemberChange::Newer
    }

    fn replace(&mut self, record: &MemberRecord) {
        self.record = record.clone();
        self.digest = digest_of(record);
    }

    fn restart_timers(&mut self, live: usize, consecutive_failures: u32, now: MonoTime) {
        self.suspicion = match &self.record.state {
            MemberState::Suspect(reporter) => Some(SuspicionTimer::start(
                reporter.clone(),
                live,
                consecutive_failures,
                now,
            )),
            _ => None,
        };
        self.purge_at = match self.record.state.is_live() {
            true => None,
            false => Some(now.after(DEAD_MEMBER_RETENTION)),
        };
    }
}

/// Returns the digest of a member record; it covers the name and the incarnation, not the state.
#[must_use]
pub fn digest_of(record: &MemberRecord) -> u64 {
    NameDigest::of(record.daemon.as_str(), record.incarnation.0).get()
}
