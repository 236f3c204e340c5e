//! A daemon's leases of shares in the table.

use std::net::SocketAddr;
use std::time::Duration;

use crate::hash::FastMap;
use crate::ids::{BootId, DaemonId, Version};
use crate::limits::{LeasePlan, ShareOrigin, ShareRow, ShareSet, clock_margin};
use crate::platform::TableRow;
use crate::time::{Deadline, MonoTime};
use crate::units::TimeSpan;

/// Beyond the lease itself, how long a row must stay unchanged before it is claimed.
const CLAIM_MARGIN: Duration = Duration::from_secs(1);

/// Who the daemon is towards the table.
#[derive(Debug, Clone)]
pub struct LeaseIdentity {
    /// The daemon.
    pub daemon: DaemonId,
    /// Its peer address.
    pub address: SocketAddr,
    /// Its boot.
    pub boot: BootId,
}

/// Claims, renews and gives up leases; trusts no clock but its own.
#[derive(Debug)]
pub struct LeaseHolder {
    identity: LeaseIdentity,
    lease: TimeSpan,
    total: u32,
    nonce: u64,
    seen: FastMap<u8, SeenRow>,
    held: FastMap<u8, HeldLease>,
    pending: Option<LeasePlan>,
}

/// A share's row as it was read.
#[derive(Debug, Clone)]
struct SeenRow {
    version: Version,
    /// When this version was first seen.
    since: MonoTime,
    row: Option<ShareRow>,
}

#[derive(Debug, Clone, Copy)]
struct HeldLease {
    version: Version,
    until: Deadline,
}

/// What the lender must learn.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaseChange {
    /// The share is held until the deadline.
    Held(u8, Deadline, ShareOrigin),
    /// The share is held no more.
    Lost(u8),
}

impl LeaseHolder {
    /// A holder without leases.
    #[must_use]
    pub fn open(identity: LeaseIdentity, lease: TimeSpan, total: u32) -> Self {
        Self {
            identity,
            lease,
            total,
            nonce: 0,
            seen: FastMap::default(),
            held: FastMap::default(),
            pending: None,
        }
    }

    /// The shares held.
    #[must_use]
    pub fn held(&self) -> ShareSet {
        self.held.keys().copied().collect()
    }

    /// When the first of the leases ends.
    #[must_use]
    pub fn earliest_expiry(&self) -> Option<Deadline> {
        self.held.values().map(|lease| lease.until).min()
    }

    /// Takes in the rows that a scan read; `now` is when its answer came.
    ///
    /// Settles a commit whose answer was lost: its rows show whether it took effect.
    pub fn observe(&mut self, rows: &[TableRow], now: MonoTime) -> Vec<LeaseChange> {
        let mut versions: FastMap<u8, (Version, Option<ShareRow>)> = FastMap::default();
        for row in rows {
            if let Some(share) = ShareRow::parse_key(&row.key) {
                let value = serde_json::from_slice(&row.value).ok();
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

    /// The shares that may be claimed now.
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

    /// How many shares to hold as one of `members` daemons, `most` at most.
    ///
    /// An even part, since what a lost daemon held is out of use until its lease ends.
    #[must_use]
    pub fn target_count(&self, members: usize, most: u32) -> u32 {
        let members = u32::try_from(members).unwrap_or(u32::MAX).max(1);
        self.total.div_ceil(members).min(most)
    }

    /// Whether some free row is of this daemon's slot.
    #[must_use]
    pub fn has_own_claimable(&self, now: MonoTime) -> bool {
        self.claimable(now).iter().any(|share| self.is_own(share))
    }

    /// The transaction that renews what is held and claims up to `most` shares in all.
    ///
    /// Own rows of an earlier run come first: they are no one else's.
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

    /// The transaction that gives up all shares; none is held from now on, whatever its fate.
    pub fn release(&mut self, now: MonoTime) -> Option<LeasePlan> {
        let held = self.held();
        let plan = self.build_plan(held, ShareSet::EMPTY, true, now);
        self.held.clear();
        plan
    }

    /// Takes in that `plan` was committed.
    pub fn record_commit(&mut self, plan: &LeasePlan, now: MonoTime) -> Vec<LeaseChange> {
        self.pending = None;
        let mut changes = Vec::new();
        for (share, version) in plan.written_versions() {
            self.record_row(share, version, Some(plan.row.clone()), now);
            self.record_lease(plan, share, version, &mut changes);
        }
        changes
    }

    /// Takes in that the answer to `plan` was lost; the next scan settles it.
    pub fn record_uncertain(&mut self, plan: LeasePlan) {
        self.pending = Some(plan);
    }

    /// Drops leases that have ended by the own clock.
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

    fn record_row(&mut self, share: u8, version: Version, row: Option<ShareRow>, now: MonoTime) {
        let known = self.seen.get(&share);
        if known.is_none_or(|seen| seen.version != version) {
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
        let Some(lease) = self.held.get_mut(&share) else {
            return;
        };
        if is_this_run {
            // An own write took effect late; it proves no more time than was known.
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
        self.held.insert(share, HeldLease { version, until });
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
        let row = ShareRow {
            daemon: self.identity.daemon.clone(),
            address: self.identity.address,
            boot: self.identity.boot,
            nonce: self.nonce,
            lease: self.lease,
            released,
        };
        let versions = shares.iter().map(|share| (share, self.version(share)));
        Some(LeasePlan::new(row, versions.collect(), held, now))
    }

    fn version(&self, share: u8) -> Version {
        let held = self.held.get(&share).map(|lease| lease.version);
        let seen = self.seen.get(&share).map(|seen| seen.version);
        held.or(seen).unwrap_or_default()
    }

    fn seen_row(&self, share: u8) -> Option<&ShareRow> {
        self.seen.get(&share)?.row.as_ref()
    }

    /// Whether a row of this daemon's slot and address names an earlier run, or this one.
    fn is_own(&self, share: u8) -> bool {
        self.seen_row(share).is_some_and(|row| {
            row.daemon == self.identity.daemon && row.address == self.identity.address
        })
    }

    fn is_this_run(&self, share: u8) -> bool {
        self.is_own(share)
            && self
                .seen_row(share)
                .is_some_and(|row| row.boot == self.identity.boot && !row.released)
    }

    fn is_claimable(&self, seen: &SeenRow, now: MonoTime) -> bool {
        let Some(row) = &seen.row else {
            return seen.version == Version(0);
        };
        let is_own = row.daemon == self.identity.daemon && row.address == self.identity.address;
        let idle = clock_margin::lengthened(row.lease.get()) + CLAIM_MARGIN;
        row.released || is_own || now.since(seen.since) >= idle
    }
}
