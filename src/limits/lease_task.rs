//! The task that claims and renews leases of rate limit shares in the platform's table.

use std::rc::{Rc, Weak};
use std::time::Duration;

use futures_util::future::select;

use crate::limits::limits_core::LimitsCore;
use crate::limits::{LeasePlan, SHARE_PREFIX, ShareSet};
use crate::logs::log_target;
use crate::platform::{CommitOutcome, PlatformError};
use crate::time::{Deadline, MonoTime};

/// Pause between two scans while shares are claimable or were just claimed.
const CLAIM_WAIT: Duration = Duration::from_millis(200);
/// Pause after a failed call to the platform.
const FAILURE_WAIT: Duration = Duration::from_secs(1);
/// The first claim is delayed by a random part of this time, so that daemons that start together do
/// not conflict. A conflict costs an additional platform call.
const FIRST_CLAIM_SPREAD: Duration = Duration::from_millis(1_000);
/// Renewal intervals between two scans by a daemon without leases. Daemons with leases scan more
/// often and find claimable shares first.
const IDLE_SCAN_RENEWALS: u32 = 2;
/// Most shares claimed in one transaction, so that daemons that start together get similar numbers.
const MAX_CLAIMS: u32 = 3;
/// Shares that stay claimable for this long are claimed even beyond the daemon's usual number.
const SPARE_AFTER: Duration = Duration::from_secs(5);
/// Most rows read in one scan. There are at most `MAX_SHARES`.
const MAX_ROWS: usize = 1024;

/// Claims and renews leases until the handle is dropped or the daemon shuts down.
pub(crate) async fn run(core: Weak<LimitsCore>) {
    let mut cycle = LeaseCycle::default();
    loop {
        let Some(running) = core.upgrade().filter(|core| !core.is_shutting_down.get()) else {
            return;
        };
        let wait = cycle.run_once(&running).await;
        let wake = Rc::clone(&running.lease_wake);
        drop(running);
        let jittered = wait.mul_f64(0.75 + fastrand::f64() / 2.0);
        let sleep = std::pin::pin!(actix_rt::time::sleep(jittered));
        let wake = std::pin::pin!(wake.notified());
        select(sleep, wake).await;
    }
}

/// Releases all leases. Returns the shares whose release was committed.
pub(crate) async fn release(core: &Rc<LimitsCore>) -> ShareSet {
    let now = core.now();
    let plan = core.holder.borrow_mut().release(now);
    let Some(plan) = plan else {
        return ShareSet::EMPTY;
    };
    for share in plan.shares().iter() {
        core.lender.borrow_mut().remove_share(share);
    }
    match core.sources.platform.commit(&plan.transaction()).await {
        Ok(CommitOutcome::Committed) => plan.shares(),
        Ok(CommitOutcome::Conflict(_)) => ShareSet::EMPTY,
        Err(cause) => {
            log::warn!(target: log_target::LIMITS, cause:%; "Lease release failed; the shares cannot be used until the leases expire.");
            ShareSet::EMPTY
        }
    }
}

/// State of the periodic scan and commit.
#[derive(Default)]
struct LeaseCycle {
    /// When this daemon may first claim shares that no one holds. Random, see `FIRST_CLAIM_SPREAD`.
    claim_at: Option<Deadline>,
    /// When the last successful commit was sent.
    renewed: Option<MonoTime>,
    /// Since when there have been claimable shares.
    claimable_since: Option<MonoTime>,
}

impl LeaseCycle {
    /// Scans the table and commits the claims and renewals that are due. Returns how long to wait.
    async fn run_once(&mut self, core: &Rc<LimitsCore>) -> Duration {
        let platform = &core.sources.platform;
        let rows = match platform.scan(SHARE_PREFIX, None, MAX_ROWS).await {
            Ok(rows) => rows,
            Err(cause) => {
                log::debug!(target: log_target::LIMITS, cause:%; "Lease scan failed.");
                self.expire(core);
                return FAILURE_WAIT;
            }
        };
        let now = core.now();
        let changes = core.holder.borrow_mut().observe(&rows, now);
        core.apply_lease_changes(changes);
        self.expire(core);
        let Some(plan) = self.plan(core) else {
            return self.idle_wait(core);
        };
        self.commit(core, plan).await
    }

    fn expire(&self, core: &Rc<LimitsCore>) {
        let now = core.now();
        let changes = core.holder.borrow_mut().expire(now);
        core.apply_lease_changes(changes);
    }

    fn plan(&mut self, core: &Rc<LimitsCore>) -> Option<LeasePlan> {
        let settings = &core.sources.settings;
        let now = core.now();
        let members = core.map.borrow().members().len();
        let mut holder = core.holder.borrow_mut();
        let (claimable, held) = (holder.claimable(now), holder.held());
        self.claimable_since = match (claimable.is_empty(), self.claimable_since) {
            (true, _) => None,
            (false, since) => since.or(Some(now)),
        };
        let is_overdue = |since| now.since(since) >= SPARE_AFTER;
        let most = match self.claimable_since.is_some_and(is_overdue) {
            true => settings.shares,
            false => holder.target_count(members, settings.shares_per_daemon),
        };
        let renews = self.renews(core, now) && !held.is_empty();
        let claim_at = *self
            .claim_at
            .get_or_insert_with(|| now.after(FIRST_CLAIM_SPREAD.mul_f64(fastrand::f64())));
        let may_claim = claim_at.has_passed(now) && held.len() < most;
        let claims = !claimable.is_empty() && (may_claim || holder.has_own_claimable(now));
        let count = most.min(held.len() + MAX_CLAIMS);
        (renews || claims).then(|| holder.plan(count, now))?
    }

    fn renews(&self, core: &LimitsCore, now: MonoTime) -> bool {
        let renew = core.sources.settings.renew.get();
        self.renewed.is_none_or(|at| now.since(at) >= renew)
    }

    async fn commit(&mut self, core: &Rc<LimitsCore>, plan: LeasePlan) -> Duration {
        let outcome = core.sources.platform.commit(&plan.transaction()).await;
        if core.is_shutting_down.get() {
            return FAILURE_WAIT;
        }
        match outcome {
            Ok(CommitOutcome::Committed) => {
                self.renewed = Some(plan.sent);
                let now = core.now();
                let changes = core.holder.borrow_mut().record_commit(&plan, now);
                core.apply_lease_changes(changes);
                CLAIM_WAIT
            }
            Ok(CommitOutcome::Conflict(row)) => {
                log::debug!(target: log_target::LIMITS, row:%; "Lease commit conflicted: the row was changed since it was read.");
                CLAIM_WAIT / 2
            }
            Err(PlatformError::ResponseLost(cause)) => {
                log::info!(target: log_target::LIMITS, cause:%; "A lease is unsure until read again.");
                core.holder.borrow_mut().record_uncertain(plan);
                CLAIM_WAIT
            }
            Err(PlatformError::Unavailable(cause)) => {
                log::debug!(target: log_target::LIMITS, cause:%; "Lease commit failed: platform unavailable.");
                FAILURE_WAIT
            }
        }
    }

    /// Time until the next renewal, or less while shares are claimable.
    fn idle_wait(&self, core: &Rc<LimitsCore>) -> Duration {
        let now = core.now();
        if !core.holder.borrow().claimable(now).is_empty() {
            let first = self.claim_at.map_or(CLAIM_WAIT, |at| at.remaining(now));
            return first.max(CLAIM_WAIT);
        }
        let renew = core.sources.settings.renew.get();
        if core.holder.borrow().held().is_empty() {
            return renew * IDLE_SCAN_RENEWALS;
        }
        let due = self.renewed.map_or(now, |at| at.max(now)) + renew;
        due.since(now).max(CLAIM_WAIT)
    }
}
