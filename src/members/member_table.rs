//! Table of the other daemons, with their newest records and suspicion timers.

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
#[derive(Debug, Default)]
pub struct MemberTable {
    entries: FastMap<DaemonId, MemberEntry>,
    live: usize,
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
        let live = self.live + 1;
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
        self.adjust_live_count(was_live, is_live);
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
        self.entries.insert(record.daemon.clone(), entry);
        self.live += 1;
        MemberChange::LivenessChanged
    }

    fn adjust_live_count(&mut self, was_live: bool, is_live: bool) {
        match (was_live, is_live) {
            (false, true) => self.live += 1,
            (true, false) => self.live -= 1,
            _ => {}
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

    /// Iterates over the records of live members, in no particular order.
    pub fn live(&self) -> impl Iterator<Item = &MemberRecord> {
        let records = self.entries.values().map(|entry| &entry.record);
        records.filter(|record| record.state.is_live())
    }

    /// Returns the number of live members, without this daemon.
    #[must_use]
    pub const fn live_count(&self) -> usize {
        self.live
    }

    /// Returns the records of members whose suspicion timed out at least `grace` before `now`.
    #[must_use]
    pub fn expired_suspicions(&self, grace: Duration, now: MonoTime) -> Vec<MemberRecord> {
        let is_due = |entry: &&MemberEntry| match &entry.suspicion {
            Some(timer) => (timer.deadline().time() + grace) <= now,
            None => false,
        };
        let due = self.entries.values().filter(is_due);
        due.map(|entry| entry.record.clone()).collect()
    }

    /// Removes members that have not been live for `DEAD_MEMBER_RETENTION` and returns their names.
    pub fn purge_dead(&mut self, now: MonoTime) -> Vec<DaemonId> {
        let is_due = |entry: &MemberEntry| entry.purge_at.is_some_and(|end| end.has_passed(now));
        let due = self.entries.iter().filter(|(_, entry)| is_due(entry));
        let purged: Vec<_> = due.map(|(daemon, _)| daemon.clone()).collect();
        for daemon in &purged {
            self.entries.remove(daemon);
        }
        purged
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
