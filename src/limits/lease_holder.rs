//! Leases of rate limit shares that a daemon holds in the platform's table.

use crate::hash::FastMap;
use crate::ids::{StoreEra, Version};
use crate::limits::held_lease::HeldLease;
use crate::limits::seen_row::{SeenRow, claim_wait};
use crate::limits::{LeaseChange, LeaseIdentity, LeasePlan, LeaseRow, ShareSet, clock_margin};
use crate::logs::log_target;
use crate::platform::TableRow;
use crate::time::{Deadline, MonoTime};
use crate::units::TimeSpan;

/// Claims, renews and releases leases, and judges their expiry by the daemon's own clock alone.
#[derive(Debug)]
pub struct LeaseHolder {
    identity: LeaseIdentity,
    lease: TimeSpan,
    total: u32,
    nonce: u64,
    /// Era of the store; none before the first scan.
    era: Option<StoreEra>,
    /// When the store was found to have come back from a copy; none before.
    restored_at: Option<MonoTime>,
    seen: FastMap<u8, SeenRow>,
    held: FastMap<u8, HeldLease>,
    /// A plan whose commit got no answer.
    pending: Option<LeasePlan>,
}

impl LeaseHolder {
    /// Creates a holder without leases. `lease` is the duration of a lease and `total` the number
    /// of shares.
    #[must_use]
    pub fn open(identity: LeaseIdentity, lease: TimeSpan, total: u32) -> Self {
        Self {
            identity,
            lease,
            total,
            nonce: 0,
            era: None,
            restored_at: None,
            seen: FastMap::default(),
            held: FastMap::default(),
            pending: None,
        }
    }

    /// The shares whose lease is held.
    #[must_use]
    pub fn held(&self) -> ShareSet {
        self.held.keys().copied().collect()
    }

    /// When the first lease expires, or `None` if none is held.
    #[must_use]
    pub fn earliest_expiry(&self) -> Option<Deadline> {
        self.held.values().map(|lease| lease.until).min()
    }

    /// Records the era that the store names. A store that came back from a copy has lost the newest
    /// rows, so that each row must stay unchanged for a whole lease before it is trusted again.
    pub fn enter_era(&mut self, era: StoreEra, now: MonoTime) {
        let known = self.era.replace(era);
        if known.is_some_and(|known| known != era) {
            self.restored_at = Some(now);
            self.seen.values_mut().for_each(|seen| seen.since = now);
        }
    }

    /// Whether a held lease must be written again, since the store has lost its row.
    #[must_use]
    pub fn has_lost_row(&self) -> bool {
        self.held.values().any(|lease| lease.era != self.era())
    }

    /// Records the rows of a scan whose answer arrived at `now`.
    ///
    /// Resolves a commit whose answer was lost: the rows show whether it took effect.
    pub fn observe(&mut self, rows: &[TableRow], now: MonoTime) -> Vec<LeaseChange> {
        let mut versions: FastMap<u8, (Version, Option<LeaseRow>)> = FastMap::default();
        for row in rows {
            if let Some(share) = LeaseRow::parse_key(&row.key) {
                let value = LeaseRow::parse_value(&row.value);
                if value.is_none() && !self.has_seen(share, row.version) {
                    log::warn!(target: log_target::LIMITS, row:% = row.key.0, version:% = row.version; "Lease row cannot be read. Its share may be claimed after a lease unless the row changes.");
                }
                versions.insert(share, (row.version, value));
            }
        }
        let mut changes = Vec::new();
        for share in ShareSet::first(self.total).iter() {
            let (version, row) = versions.remove(&share).unwrap_or_default();
            self.record_row(share, version, row, now);
            self.reconcile_share(share, version, &mut changes);
        }
        self.pending = None;
        changes
    }

    /// The shares that this daemon may claim now.
    #[must_use]
    pub fn claimable(&self, now: MonoTime) -> ShareSet {
        let all = ShareSet::first(self.total).difference(self.held());
        all.iter()
            .filter(|share| {
                let seen = self.seen.get(share);
                seen.is_some_and(|seen| self.is_claimable(seen, now))
            })
            .collect()
    }

    /// When the first lease of another daemon may be claimed unless its row changes before.
    #[must_use]
    pub fn earliest_lapse(&self, now: MonoTime) -> Option<Deadline> {
        let others = self
            .seen
            .iter()
            .filter(|(share, _)| !self.held.contains_key(share));
        let lapses = others.filter_map(|(_, seen)| {
            let lease = match &seen.row {
                Some(row) => row.lease,
                None if seen.version == Version(0) => return None,
                None => self.lease,
            };
            Some(seen.since.after(claim_wait(lease.get())))
        });
        lapses.filter(|lapse| !lapse.has_passed(now)).min()
    }

    /// Number of shares to lease as one of `members` daemons, at most `most`.
    ///
    /// The shares are spread evenly, since those of a lost daemon cannot be used until its leases
    /// expire.
    #[must_use]
    pub fn target_count(&self, members: usize, most: u32) -> u32 {
        let members = u32::try_from(members).unwrap_or(u32::MAX).max(1);
        self.total.div_ceil(members).min(most)
    }

    /// Whether a claimable row names this daemon, as after a restart.
    #[must_use]
    pub fn has_own_claimable(&self, now: MonoTime) -> bool {
        self.claimable(now).iter().any(|share| self.is_own(share))
    }

    /// Plans a transaction that renews all held leases and claims shares up to a total of `most`.
    ///
    /// Rows of earlier runs of this daemon are always claimed, since no other process uses them.
    pub fn plan(&mut self, most: u32, now: MonoTime) -> Option<LeasePlan> {
        let held = self.held();
        let claimable = self.claimable(now);
        let own: ShareSet = claimable
            .iter()
            .filter(|share| self.is_own(*share))
            .collect();
        let count = most.saturating_sub(held.len()).max(own.len()) as usize;
        let claimed = own
            .iter()
            .chain(claimable.difference(own).iter())
            .take(count);
        let shares: ShareSet = held.iter().chain(claimed).collect();
        self.build_plan(shares, held, false, now)
    }

    /// Plans a transaction that releases all leases. They count as released at once, even if the
    /// transaction fails.
    pub fn release(&mut self, now: MonoTime) -> Option<LeasePlan> {
        let held = self.held();
        let plan = self.build_plan(held, ShareSet::EMPTY, true, now);
        self.held.clear();
        plan
    }

    /// Plans the release of those of `shares` whose row, as last read, this run still holds. For a release
    /// that conflicted.
    pub fn release_again(&mut self, shares: ShareSet, now: MonoTime) -> Option<LeasePlan> {
        let kept = shares.iter().filter(|share| self.is_this_run(*share));
        let kept: ShareSet = kept.collect();
        for share in kept.iter() {
            self.held.remove(&share);
        }
        self.build_plan(kept, ShareSet::EMPTY, true, now)
    }

    /// Records that `plan` was committed.
    pub fn record_commit(&mut self, plan: &LeasePlan, now: MonoTime) -> Vec<LeaseChange> {
        self.pending = None;
        let mut changes = Vec::new();
        for (share, version) in plan.written_versions() {
            self.record_row(share, version, Some(plan.row.clone()), now);
            self.record_lease(plan, share, version, &mut changes);
        }
        changes
    }

    /// Records that the answer to `plan` was lost. The next scan shows whether it took effect.
    pub fn record_uncertain(&mut self, plan: LeasePlan) {
        self.pending = Some(plan);
    }

    /// Drops leases that have expired by the daemon's own clock.
    pub fn expire(&mut self, now: MonoTime) -> Vec<LeaseChange> {
        let ended = self.held.iter();
        let mut ended: Vec<u8> = ended
            .filter(|(_, lease)| lease.until.has_passed(now))
            .map(|(share, _)| *share)
            .collect();
        ended.sort_unstable();
        ended
            .into_iter()
            .map(|share| self.drop_lease(share))
            .collect()
    }

    fn has_seen(&self, share: u8, version: Version) -> bool {
        let seen = self.seen.get(&share);
        seen.is_some_and(|seen| seen.version == version)
    }

    fn record_row(&mut self, share: u8, version: Version, row: Option<LeaseRow>, now: MonoTime) {
        if !self.has_seen(share, version) {
            let since = now;
            self.seen.insert(
                share,
                SeenRow {
                    version,
                    since,
                    row,
                },
            );
        }
    }

    fn reconcile_share(&mut self, share: u8, version: Version, changes: &mut Vec<LeaseChange>) {
        let pending = self.pending.clone();
        if let Some(plan) = pending.filter(|plan| plan.wrote(share, version))
            && self.seen_row(share) == Some(&plan.row)
        {
            self.record_lease(&plan, share, version, changes);
            return;
        }
        let is_this_run = self.is_this_run(share);
        let is_older_row = self.seen_row(share).is_none_or(|row| row.era != self.era());
        let era = self.era();
        let Some(lease) = self.held.get_mut(&share) else {
            return;
        };
        // Nobody claims a share by a row of an earlier era, so the lease holds until its expiry.
        let is_row_lost = lease.era != era && is_older_row;
        if is_this_run || is_row_lost {
            // A write of this run took effect late. When it was sent is unknown, so it does not
            // extend the lease.
            lease.version = version;
        } else if lease.version != version {
            changes.push(self.drop_lease(share));
        }
    }

    fn record_lease(
        &mut self,
        plan: &LeasePlan,
        share: u8,
        version: Version,
        changes: &mut Vec<LeaseChange>,
    ) {
        if plan.row.released {
            changes.push(self.drop_lease(share));
            return;
        }
        let until = plan.sent.after(clock_margin::shortened(self.lease.get()));
        let era = plan.row.era;
        let lease = HeldLease {
            version,
            until,
            era,
        };
        self.held.insert(share, lease);
        changes.push(LeaseChange::Held(share, until, plan.origin(share)));
    }

    fn drop_lease(&mut self, share: u8) -> LeaseChange {
        self.held.remove(&share);
        LeaseChange::Lost(share)
    }

    fn build_plan(
        &mut self,
        shares: ShareSet,
        held: ShareSet,
        released: bool,
        now: MonoTime,
    ) -> Option<LeasePlan> {
        if shares.is_empty() {
            return None;
        }
        self.nonce += 1;
        let row = LeaseRow {
            daemon: self.identity.daemon.clone(),
            address: self.identity.address,
            boot: self.identity.boot,
            nonce: self.nonce,
            lease: self.lease,
            released,
            era: self.era(),
        };
        let versions = shares.iter().map(|share| (share, self.version(share)));
        let boot = self.identity.boot;
        let is_earlier_run = |share: &u8| {
            self.is_own(*share) && self.seen_row(*share).is_some_and(|row| row.boot != boot)
        };
        let earlier_run = shares.iter().filter(is_earlier_run).collect();
        let plan = LeasePlan::new(row, versions.collect(), held, now);
        Some(plan.with_earlier_run(earlier_run))
    }

    fn era(&self) -> StoreEra {
        self.era.unwrap_or_default()
    }

    fn version(&self, share: u8) -> Version {
        let held = self.held.get(&share).map(|lease| lease.version);
        let seen = self.seen.get(&share).map(|seen| seen.version);
        held.or(seen).unwrap_or_default()
    }

    fn seen_row(&self, share: u8) -> Option<&LeaseRow> {
        self.seen.get(&share)?.row.as_ref()
    }

    /// Whether the row names this daemon and its address, in this run or an earlier one.
    fn is_own(&self, share: u8) -> bool {
        self.seen_row(share)
            .is_some_and(|row| self.identity.wrote(row))
    }

    fn is_this_run(&self, share: u8) -> bool {
        self.is_own(share)
            && self
                .seen_row(share)
                .is_some_and(|row| row.boot == self.identity.boot && !row.released)
    }

    fn is_claimable(&self, seen: &SeenRow, now: MonoTime) -> bool {
        let Some(row) = &seen.row else {
            let wait = claim_wait(self.lease.get());
            let is_recent = |at| now.since(at) < wait;
            return match seen.version {
                Version(0) => !self.restored_at.is_some_and(is_recent),
                // The row cannot be read.
                _ => !is_recent(seen.since),
            };
        };
        let is_free = row.released || self.identity.wrote(row);
        let is_trusted = row.era == self.era();
        (is_free && is_trusted) || now.since(seen.since) >= claim_wait(row.lease.get())
    }
}
