//! Tasks of the fleet-wide rate limits: send requests for loans of shares and for grants of tokens,
//! and apply the answers.

use std::collections::BTreeMap;
use std::rc::{Rc, Weak};
use std::time::Duration;

use tokio::sync::oneshot;

use crate::ids::{AccountId, DaemonId};
use crate::limits::limits_core::LimitsCore;
use crate::limits::{
    Admission, AdmitOutcome, GrantCall, HomeMap, HomeRole, LoanCall, PoolKey, RateRefusal,
    ShareSet, lease_release,
};
use crate::logs::log_target;
use crate::resource::RateLimit;
use crate::time::Deadline;
use crate::wire::{LimitsCall, LimitsReply, LoanRequest, LoanReturn, ReturnedLoan};

/// Interval of the periodic task.
const TICK: Duration = Duration::from_millis(20);
/// Ticks between two updates from the list of live daemons, and between two batches of token
/// requests.
const TICKS_PER_REFRESH: u32 = 5;
/// Ticks between two removals of full buckets.
const TICKS_PER_PRUNE: u32 = 500;
/// Retry delay in a refusal of a request whose decision was lost.
const UNDECIDED_RETRY: Duration = Duration::from_millis(500);
/// Timeout of a token request.
const GRANT_TIMEOUT: Duration = Duration::from_millis(200);
/// Timeout of a loan request, of a return and of a notification.
const LOAN_TIMEOUT: Duration = Duration::from_millis(500);
/// Shorter than `LOAN_TIMEOUT`, since it delays the answer to a loan request.
const IDENTIFY_TIMEOUT: Duration = Duration::from_millis(200);
/// How much longer than the life of a grant a hand-over may take.
const HAND_OVER_MARGIN: Duration = Duration::from_millis(500);

/// Drives the state machines until the handle is dropped.
pub(crate) async fn run(core: Weak<LimitsCore>) {
    for tick in 1u32.. {
        actix_rt::time::sleep(TICK).await;
        let Some(core) = core.upgrade() else {
            return;
        };
        if tick.is_multiple_of(TICKS_PER_REFRESH) || core.has_new_pools.get() {
            refresh_members(&core);
        }
        if tick.is_multiple_of(TICKS_PER_PRUNE) {
            let now = core.now();
            core.issuer.borrow_mut().prune(now);
        }
        send_loan_calls(&core);
        let now = core.now();
        let outcomes = core.controller.borrow_mut().tick(now);
        core.deliver(outcomes);
        if tick.is_multiple_of(TICKS_PER_REFRESH) || core.controller.borrow().is_urgent(now) {
            send_grant_calls(&core);
        }
    }
}

/// Applies the current list of live daemons, and borrows or closes pools as their homes change.
pub(crate) fn refresh_members(core: &Rc<LimitsCore>) {
    let now = core.now();
    let has_new_pools = core.has_new_pools.take();
    let expired = core.active.borrow_mut().expire(now);
    let version = (core.sources.members.version)();
    let is_changed = core.members_version.replace(Some(version)) != Some(version);
    if is_changed {
        let members = (core.sources.members.list)();
        let map = match core.sources.settings.zones {
            true => HomeMap::with_zones(members, &(core.sources.members.zones)()),
            false => HomeMap::new(members),
        };
        core.map.replace(map);
        core.members_changed_at.set(now);
    }
    if is_changed || has_new_pools || expired {
        let map = core.map.borrow();
        let pools = own_pools(core, &map);
        core.borrower.borrow_mut().update_pools(&map, pools, now);
    }
    core.issuer.borrow_mut().expire_loans(now);
    close_foreign_pools(core);
}

/// Calls the lenders that are due.
fn send_loan_calls(core: &Rc<LimitsCore>) {
    let now = core.now();
    let calls = core
        .borrower
        .borrow_mut()
        .due_calls(&core.issuer.borrow(), now);
    for call in calls {
        actix_rt::spawn(call_lender(Rc::clone(core), call));
    }
}

async fn call_lender(core: Rc<LimitsCore>, call: LoanCall) {
    let LoanCall {
        lender,
        number,
        ask,
    } = call;
    let reply = match core.address_of(&lender) {
        Some(address) => {
            let message = LimitsCall::Borrow(ask);
            core.call(address, message, LOAN_TIMEOUT).await.ok()
        }
        None => None,
    };
    let now = core.now();
    let mut borrower = core.borrower.borrow_mut();
    match reply {
        Some(LimitsReply::Loans(answer)) => {
            let mut issuer = core.issuer.borrow_mut();
            borrower.record_answer(&lender, number, &answer, &mut issuer, now);
        }
        _ => borrower.record_failure(&lender, number, now),
    }
}

/// Checks whether a home that requests loans has replaced the process that borrowed from the same
/// address before, by calling that address.
pub(crate) async fn confirm_home(core: &LimitsCore, ask: &LoanRequest) {
    let now = core.now();
    let Some(before) = core.lender.borrow().unconfirmed_borrower(ask, now) else {
        return;
    };
    let reply = core
        .call(ask.address, LimitsCall::Identify, IDENTIFY_TIMEOUT)
        .await;
    let now = core.now();
    match reply {
        Ok(LimitsReply::Identity(boot)) if boot == ask.borrower => {
            let mut lender = core.lender.borrow_mut();
            lender.replace_borrower(ask.address, before, boot, now);
        }
        Ok(LimitsReply::Identity(boot)) => {
            log::info!(target: log_target::LIMITS, address:% = ask.address, borrower:% = ask.borrower, boot:%; "Loan request refused: its address belongs to another process.");
        }
        Ok(_) => {
            log::warn!(target: log_target::LIMITS, address:% = ask.address; "Home identification failed: unexpected reply.");
        }
        Err(cause) => {
            log::debug!(target: log_target::LIMITS, address:% = ask.address, cause:%; "Home identification failed.");
        }
    }
}

/// Sends the token requests that are due.
pub(crate) fn send_grant_calls(core: &Rc<LimitsCore>) {
    if !core.controller.borrow().has_due_calls() {
        return;
    }
    let now = core.now();
    let calls = core
        .controller
        .borrow_mut()
        .due_calls(&core.map.borrow(), now);
    for call in calls {
        actix_rt::spawn(call_home(Rc::clone(core), call));
    }
}

async fn call_home(core: Rc<LimitsCore>, call: GrantCall) {
    let message = LimitsCall::Grant(call.ask.clone());
    let reply = core
        .call(call.target.home.address, message, GRANT_TIMEOUT)
        .await;
    let now = core.now();
    let outcomes = match reply {
        Ok(LimitsReply::Grants(answer)) => core
            .controller
            .borrow_mut()
            .record_answer(&call, &answer, now),
        _ => {
            core.controller.borrow_mut().record_failure(&call, now);
            Vec::new()
        }
    };
    core.deliver(outcomes);
    if core.controller.borrow().is_urgent(core.now()) {
        send_grant_calls(&core);
    }
}

/// Decides whether one request is admitted.
pub(crate) async fn admit(
    core: &Rc<LimitsCore>,
    account: &AccountId,
    deadline: Deadline,
) -> Admission {
    let Some(limit) = (core.sources.rate_of)(account) else {
        return Admission::NoLimit;
    };
    let now = core.now();
    let outcome = core.controller.borrow_mut().admit(&limit, deadline, now);
    let admission = match outcome {
        AdmitOutcome::Admitted(token) => Admission::Admitted(token),
        AdmitOutcome::Refused(refusal) => Admission::Refused(refusal),
        AdmitOutcome::Waiting(number) => wait_for_token(core, limit, number).await,
    };
    let counter = match admission {
        Admission::Admitted(_) => &core.admitted,
        _ => &core.refused,
    };
    counter.set(counter.get() + 1);
    admission
}

async fn wait_for_token(core: &Rc<LimitsCore>, limit: RateLimit, number: u64) -> Admission {
    let (sender, receiver) = oneshot::channel();
    core.waiters.borrow_mut().insert(number, sender);
    send_grant_calls(core);
    receiver.await.unwrap_or_else(|_| {
        Admission::Refused(RateRefusal::without_answers(limit, UNDECIDED_RETRY))
    })
}

fn own_pools(core: &LimitsCore, map: &HomeMap) -> Vec<(PoolKey, HomeRole)> {
    match core.is_shutting_down.get() {
        true => Vec::new(),
        false => core.active.borrow().served(map, &core.sources.daemon),
    }
}

/// Closes the pools whose home is another daemon and returns their loans. Returns whether no such
/// pool is left.
fn close_foreign_pools(core: &Rc<LimitsCore>) -> bool {
    let own = own_pools(core, &core.map.borrow());
    let now = core.now();
    let mut returned: BTreeMap<DaemonId, Vec<ReturnedLoan>> = BTreeMap::new();
    let mut issuer = core.issuer.borrow_mut();
    let mut is_closed = true;
    for key in issuer.pools() {
        if own.iter().any(|(own, _)| *own == key) {
            issuer.reopen(key);
            continue;
        }
        let loans = issuer.close(key, now);
        is_closed &= !loans.is_empty();
        for (lender, loan) in loans {
            returned.entry(lender).or_default().push(loan);
        }
    }
    drop(issuer);
    for (lender, loans) in returned {
        actix_rt::spawn(send_return(Rc::clone(core), lender, loans));
    }
    is_closed
}

async fn send_return(core: Rc<LimitsCore>, lender: DaemonId, loans: Vec<ReturnedLoan>) {
    let back = LoanReturn {
        borrower: core.sources.boot,
        loans,
    };
    if let Some(address) = core.address_of(&lender) {
        // If the message is lost, the loans expire by themselves.
        let call = LimitsCall::Return(back);
        let _ = core.call(address, call, LOAN_TIMEOUT).await;
    }
}

/// Releases leases and returns loans before shutdown.
pub(crate) async fn hand_over(core: &Rc<LimitsCore>) {
    if core.is_shutting_down.replace(true) {
        return;
    }
    let now = core.now();
    let end = now.after(core.sources.settings.grant.get() + HAND_OVER_MARGIN);
    {
        let map = core.map.borrow();
        core.borrower
            .borrow_mut()
            .update_pools(&map, Vec::new(), now);
    }
    let released = lease_release::release(core).await;
    notify_released(core, released).await;
    while !close_foreign_pools(core) && !end.has_passed(core.now()) {
        actix_rt::time::sleep(TICK).await;
    }
}

/// Notifies the daemons that may lease shares of released leases, so that they claim them at once.
pub(crate) async fn notify_released(core: &Rc<LimitsCore>, released: ShareSet) {
    if released.is_empty() {
        return;
    }
    let total = core.sources.settings.shares;
    let lenders: Vec<_> = core.map.borrow().lenders(total).cloned().collect();
    let others = lenders
        .iter()
        .filter(|lender| lender.daemon != core.sources.daemon);
    let calls = others
        .map(|lender| core.call(lender.address, LimitsCall::Released(released), LOAN_TIMEOUT));
    futures_util::future::join_all(calls).await;
}
