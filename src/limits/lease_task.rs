//! The task that claims and renews leases of rate limit shares in the platform's table.

use std::rc::{Rc, Weak};
use std::time::Duration;

use futures_util::future::{Either, select};

use crate::limits::limits_core::LimitsCore;
use crate::limits::{LeasePlan, SHARE_PREFIX, lease_release, limits_tasks};
use crate::logs::log_target;
use crate::platform::{CommitOutcome, PlatformError};
use crate::time::{Deadline, MonoTime};

/// Pause between two scans while shares are claimable or were just claimed.
const CLAIM_WAIT: Duration = Duration::from_millis(200);
/// Pause after a failed call to the platform.
const FAILURE_WAIT: Duration = Duration::from_secs(1);
/// The first claim is delayed by a random part of this time, so that daemons that start together do
/// not conflict. A conflict costs an additional platform call.
const FIRST_CLAIM_SPREAD: Duration = Duration::from_millis(150);
/// Renewal intervals between two scans. Only the daemons that may lease shares scan.
const SCAN_RENEWALS: u32 = 2;
/// How long the list of live daemons must be unchanged before a daemon without leases scans for the
/// first time, so that daemons that start together know which of them may lease shares.
const SETTLE_TIME: Duration = Duration::from_millis(100);
/// How long a daemon that knows no other one waits for others after the start, beyond the time over
/// which daemons that start together look for each other.
const ALONE_TIME: Duration = Duration::from_millis(300);
/// Longest wait for the list of live daemons to settle, beyond the same time.
const MAX_SETTLE_TIME: Duration = Duration::from_millis(200);
/// How long a holder that may no longer lease shares keeps them, so that a passing change of the
/// list of live daemons moves none.
const DEMOTION_WAIT: Duration = Duration::from_secs(3);
/// Interval at which a daemon that may not lease shares checks whether it still may not.
const STANDBY_WAIT: Duration = Duration::from_secs(1);
/// Random delay of a scan after another daemon released shares, so that those that are told at the
/// same moment do not conflict.
const WAKE_SPREAD: Duration = Duration::from_millis(100);
/// Most shares claimed in one transaction, so that daemons that start together get similar numbers.
const MAX_CLAIMS: u32 = 3;
/// Shares that stay claimable for this long are claimed even beyond the daemon's usual number.
const SPARE_AFTER: Duration = Duration::from_secs(5);
/// Most rows read in one scan. There are at most `MAX_SHARES`.
pub(super) const MAX_ROWS: usize = 1024;

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
        if let Either::Right(_) = select(sleep, wake).await {
            cycle.scan_at = None;
            actix_rt::time::sleep(WAKE_SPREAD.mul_f64(fastrand::f64())).await;
        }
    }
}

/// State of the periodic scan and commit.
#[derive(Default)]
struct LeaseCycle {
    /// When this daemon may first claim shares that no one holds. Random, see `FIRST_CLAIM_SPREAD`.
    claim_at: Option<Deadline>,
    /// When the next scan is due, or at once.
    scan_at: Option<Deadline>,
    /// Whether the list of live daemons has settled after the start.
    has_settled: bool,
    /// Since when this daemon may not lease shares.
    demoted_since: Option<MonoTime>,
    /// When the last successful commit was sent.
    renewed: Option<MonoTime>,
    /// Since when there have been claimable shares.
    claimable_since: Option<MonoTime>,
}

impl LeaseCycle {
    /// Scans the table and commits the claims and renewals that are due. Returns how long to wait.
    async fn run_once(&mut self, core: &Rc<LimitsCore>) -> Duration {
        if let Some(wait) = self.standby(core).await {
            return wait;
        }
        self.expire(core);
        let now = core.now();
        if self.scan_at.is_none_or(|at| at.has_passed(now))
            && let Some(wait) = self.scan(core).await
        {
            return wait;
        }
        let Some(plan) = self.plan(core) else {
            return self.idle_wait(core);
        };
        self.commit(core, plan).await
    }

    /// Returns how long to wait without a call to the platform: while the list of live daemons
    /// settles, and while this daemon may not lease shares. A holder that may not lease shares any
    /// more releases them.
    async fn standby(&mut self, core: &Rc<LimitsCore>) -> Option<Duration> {
        let now = core.now();
        let is_holder = !core.holder.borrow().held().is_empty();
        if core.is_lender() {
            self.demoted_since = None;
            return (!is_holder && !self.has_settled(core, now)).then_some(SETTLE_TIME / 4);
        }
        let demoted_since = *self.demoted_since.get_or_insert(now);
        if !is_holder {
            return Some(STANDBY_WAIT);
        }
        if now.since(demoted_since) < DEMOTION_WAIT {
            return None;
        }
        let released = lease_release::release(core).await;
        log::info!(target: log_target::LIMITS, released:%; "Leases released to the daemons that may lease shares now.");
        limits_tasks::notify_released(core, released).await;
        Some(STANDBY_WAIT)
    }

    fn has_settled(&mut self, core: &LimitsCore, now: MonoTime) -> bool {
        let is_alone = core.map.borrow().members().len() <= 1;
        let running = now
            .since(core.started_at)
            .saturating_sub(core.sources.start_spread);
        let is_stable = now.since(core.members_changed_at.get()) >= SETTLE_TIME;
        let has_settled = match is_alone {
            true => running >= ALONE_TIME,
            false => is_stable || running >= MAX_SETTLE_TIME,
        };
        self.has_settled |= has_settled;
        self.has_settled
    }

    /// Reads the rows of all shares. Returns how long to wait if that fails.
    async fn scan(&mut self, core: &Rc<LimitsCore>) -> Option<Duration> {
        let platform = &core.sources.platform;
        let rows = match platform.scan(SHARE_PREFIX, None, MAX_ROWS).await {
            Ok(rows) => rows,
            Err(cause) => {
                log::debug!(target: log_target::LIMITS, cause:%; "Lease scan failed.");
                self.expire(core);
                return Some(FAILURE_WAIT);
            }
        };
        let now = core.now();
        let changes = {
            let mut holder = core.holder.borrow_mut();
            holder.enter_era(platform.era(), now);
            holder.observe(&rows, now)
        };
        core.apply_lease_changes(changes);
        self.expire(core);
        let interval = core.sources.settings.renew.get() * SCAN_RENEWALS;
        let regular = now.after(interval.mul_f64(0.75 + fastrand::f64() / 2.0));
        let lapse = core.holder.borrow().earliest_lapse(now);
        self.scan_at = Some(lapse.map_or(regular, |lapse| lapse.min(regular)));
        None
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
        let is_renewal_due = self.renews(core, now) || holder.has_lost_row();
        let renews = is_renewal_due && !held.is_empty();
        let claim_at = *self
            .claim_at
            .get_or_insert_with(|| now.after(FIRST_CLAIM_SPREAD.mul_f64(fastrand::f64())));
        let may_claim = claim_at.has_passed(now) && held.len() < most;
        let claims = !claimable.is_empty() && (may_claim || holder.has_own_claimable(now));
        let count = most.min(held.len() + MAX_CLAIMS);
        (renews || claims).then(|| holder.plan(count, now))?
    }

    fn is_full(&self, core: &LimitsCore) -> bool {
        let settings = &core.sources.settings;
        let members = core.map.borrow().members().len();
        let holder = core.holder.borrow();
        holder.held().len() >= holder.target_count(members, settings.shares_per_daemon)
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
                // The next commit needs the versions that the platform gave the rows.
                self.scan_at = None;
                CLAIM_WAIT
            }
            Ok(CommitOutcome::Conflict(row)) => {
                log::debug!(target: log_target::LIMITS, row:%; "Lease commit conflicted: the row was changed since it was read.");
                self.scan_at = None;
                CLAIM_WAIT / 2
            }
            Err(PlatformError::ResponseLost(cause)) => {
                log::info!(target: log_target::LIMITS, cause:%; "A lease is unsure until read again.");
                core.holder.borrow_mut().record_uncertain(plan);
                self.scan_at = None;
                CLAIM_WAIT
            }
            Err(PlatformError::Unavailable(cause)) => {
                log::debug!(target: log_target::LIMITS, cause:%; "Lease commit failed: platform unavailable.");
                FAILURE_WAIT
            }
        }
    }

    /// Time until the next renewal or scan, or less while shares are claimable.
    fn idle_wait(&mut self, core: &Rc<LimitsCore>) -> Duration {
        let now = core.now();
        if !core.holder.borrow().claimable(now).is_empty() {
            let first = self.claim_at.map_or(Duration::ZERO, |at| at.remaining(now));
            if !first.is_zero() {
                return first;
            }
            self.scan_at = None;
            // A daemon with its number of shares claims more only once they are overdue.
            let overdue = self.claimable_since.map(|since| since.after(SPARE_AFTER));
            let spare = overdue.filter(|_| self.is_full(core));
            let spare = spare.map_or(Duration::ZERO, |at| at.remaining(now));
            return spare.max(CLAIM_WAIT);
        }
        let renew = core.sources.settings.renew.get();
        let scan = self.scan_at.map_or(renew, |at| at.remaining(now));
        if core.holder.borrow().held().is_empty() {
            return scan.max(CLAIM_WAIT);
        }
        let due = self.renewed.map_or(now, |at| at + renew);
        due.since(now).min(scan).max(CLAIM_WAIT)
    }
}
