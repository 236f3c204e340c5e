//! Release of the leases of rate limit shares, when a daemon stops or may hold none any more.

use std::rc::Rc;

use crate::limits::lease_task::MAX_ROWS;
use crate::limits::limits_core::LimitsCore;
use crate::limits::{LeasePlan, SHARE_PREFIX, ShareSet};
use crate::logs::log_target;
use crate::platform::{CommitOutcome, PlatformError};

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
    let shares = plan.shares();
    let released = match commit_release(core, &plan).await {
        Ok(CommitOutcome::Committed) => Ok(shares),
        Ok(CommitOutcome::Conflict(_)) => release_again(core, shares).await,
        Err(cause) => Err(cause),
    };
    released.unwrap_or_else(|cause| {
        log::warn!(target: log_target::LIMITS, shares:%, cause:%; "Lease release failed; the shares cannot be used until the leases expire.");
        ShareSet::EMPTY
    })
}

/// Reads the rows and releases the leases that the daemon still holds by them. The platform gives the rows
/// new versions at each renewal, which are not known until the rows are read.
async fn release_again(core: &Rc<LimitsCore>, shares: ShareSet) -> Result<ShareSet, PlatformError> {
    let platform = &core.sources.platform;
    let rows = platform.scan(SHARE_PREFIX, None, MAX_ROWS).await?;
    let plan = {
        let now = core.now();
        let mut holder = core.holder.borrow_mut();
        // The lender has removed these shares already, so the changes have no effect on it.
        holder.observe(&rows, now);
        holder.release_again(shares, now)
    };
    let Some(plan) = plan else {
        return Ok(ShareSet::EMPTY);
    };
    match commit_release(core, &plan).await? {
        CommitOutcome::Committed => Ok(plan.shares()),
        CommitOutcome::Conflict(row) => {
            log::info!(target: log_target::LIMITS, shares:%, row:%; "Leases not released: another daemon has changed their rows.");
            Ok(ShareSet::EMPTY)
        }
    }
}

async fn commit_release(
    core: &LimitsCore,
    plan: &LeasePlan,
) -> Result<CommitOutcome, PlatformError> {
    core.sources.platform.commit(&plan.transaction()).await
}
