//! The task that keeps the daemon's leases in the table.

use std::rc::{Rc, Weak};
use std::time::Duration;

use futures_util::future::select;

use crate::limits::limits_core::LimitsCore;
use crate::limits::{LeasePlan, SHARE_PREFIX, ShareSet};
use crate::logs::part;
use crate::platform::{CommitOutcome, PlatformError};
use crate::time::{Deadline, MonoTime};

const CLAIM_WAIT: Duration = Duration::from_millis(200);
const FAILURE_WAIT: Duration = Duration::from_secs(1);
/// Daemons that start together claim one after the other within this time: a claim that meets
/// another costs both a call.
const FIRST_CLAIM_SPREAD: Duration = Duration::from_millis(1_000);
/// Renewals between two looks of a daemon that holds nothing: others look meanwhile.
const IDLE_SCAN_RENEWALS: u32 = 2;
/// Shares claimed at a time, so that daemons that start together get like numbers.
const MAX_CLAIMS: u32 = 3;
/// Shares that stay free this long are claimed beyond the daemon's usual number.
const SPARE_AFTER: Duration = Duration::from_secs(5);
const MAX_ROWS: usize = 1024;

/// Claims and renews until the handle is dropped or the daemon leaves.
pub(crate) async fn run(core: Weak<LimitsCore>) {
    let mut cycle = LeaseCycle::default();
    loop {
        let Some(running) = core.upgrade().filter(|core| !core.leaving.get()) else {
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

/// Gives up all leases; returns those that the table shows as released.
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
            log::warn!(target: part::LIMITS, cause:%; "Shares could not be released.");
            ShareSet::EMPTY
        }
    }
}

#[derive(Default)]
struct LeaseCycle {
    /// When shares that are no one's may first be claimed, drawn by lot.
    claim_at: Option<Deadline>,
    renewed: Option<MonoTime>,
    claimable_since: Option<MonoTime>,
}

impl LeaseCycle {
    /// One look at the table and what follows from it; returns how long to wait.
    async fn run_once(&mut self, core: &Rc<LimitsCore>) -> Duration {
        let platform = &core.sources.platform;
        let rows = match platform.scan(SHARE_PREFIX, None, MAX_ROWS).await {
            Ok(rows) => rows,
            Err(cause) => {
                log::debug!(target: part::LIMITS, cause:%; "Shares could not be read.");
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
        if core.leaving.get() {
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
                log::debug!(target: part::LIMITS, row:%; "Another daemon claimed first.");
                CLAIM_WAIT / 2
            }
            Err(PlatformError::Unknown(cause)) => {
                log::info!(target: part::LIMITS, cause:%; "A lease is unsure until read again.");
                core.holder.borrow_mut().record_uncertain(plan);
                CLAIM_WAIT
            }
            Err(PlatformError::Unavailable(cause)) => {
                log::debug!(target: part::LIMITS, cause:%; "Shares could not be leased.");
                FAILURE_WAIT
            }
        }
    }

    /// Until the next renewal, or sooner while shares are free.
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
