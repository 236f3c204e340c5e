//! The tasks that drive loans and grants.

use std::collections::BTreeMap;
use std::rc::{Rc, Weak};
use std::time::Duration;

use tokio::sync::oneshot;

use crate::ids::{AccountId, DaemonId};
use crate::limits::limits_core::LimitsCore;
use crate::limits::{
    Admission, AdmitOutcome, GrantCall, HomeMap, HomeRole, LoanCall, PoolKey, RateRefusal,
    ShareSet, lease_task,
};
use crate::logs::part;
use crate::resource::RateLimit;
use crate::time::Deadline;
use crate::wire::{LimitsCall, LimitsReply, LoanAsk, LoanReturn, ReturnedLoan};

const TICK: Duration = Duration::from_millis(20);
const TICKS_PER_REFRESH: u32 = 5;
const TICKS_PER_PRUNE: u32 = 500;
/// How long a request waits for a home that has not answered: shorter than what a start of the whole
/// fleet takes to lend its shares would refuse what is within its rate.
const ADMIT_WAIT: Duration = Duration::from_millis(500);
const GRANT_TIMEOUT: Duration = Duration::from_millis(200);
const LOAN_TIMEOUT: Duration = Duration::from_millis(500);
/// Shorter than `LOAN_TIMEOUT`, within which the ask that it delays is to be answered.
const IDENTIFY_TIMEOUT: Duration = Duration::from_millis(200);
/// Peers that are told of released shares.
const RELEASE_PEERS: usize = 4;
/// Beyond the life of a grant, how long a hand-over may take.
const HAND_OVER_MARGIN: Duration = Duration::from_millis(500);

/// Turns the state machines until the handle is dropped.
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
        if tick.is_multiple_of(TICKS_PER_REFRESH) || core.controller.borrow().is_urgent() {
            send_grant_calls(&core);
        }
    }
}

/// Takes over the present view of the fleet, and settles what it changes.
pub(crate) fn refresh_members(core: &Rc<LimitsCore>) {
    let mut members = (core.sources.members)();
    members.sort();
    members.dedup();
    let now = core.now();
    let has_new_pools = core.has_new_pools.take();
    let expired = core.active.borrow_mut().expire(now);
    let is_changed = *core.map.borrow().members() != members;
    if is_changed {
        core.map.replace(HomeMap::new(members));
    }
    if is_changed || has_new_pools || expired {
        let map = core.map.borrow();
        let pools = own_pools(core, &map);
        core.borrower.borrow_mut().update_pools(&map, pools, now);
    }
    core.issuer.borrow_mut().expire_loans(now);
    close_foreign_pools(core);
}

/// Asks the lenders that are due.
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

/// Finds out whether a home that asks for loans has replaced the one that had its address before.
pub(crate) async fn confirm_home(core: &LimitsCore, ask: &LoanAsk) {
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
            log::info!(target: part::LIMITS, address:% = ask.address, borrower:% = ask.borrower, boot:%; "An ask for loans is not of the process at its address.");
        }
        Ok(_) => {
            log::warn!(target: part::LIMITS, address:% = ask.address; "A home does not say who it is.");
        }
        Err(cause) => {
            log::debug!(target: part::LIMITS, address:% = ask.address, cause:%; "A home could not be asked who it is.");
        }
    }
}

/// Sends the asks for tokens that are due.
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
    if core.controller.borrow().is_urgent() {
        send_grant_calls(&core);
    }
}

/// Asks for a token for one request.
pub(crate) async fn admit(
    core: &Rc<LimitsCore>,
    account: &AccountId,
    deadline: Deadline,
) -> Admission {
    let Some(limit) = (core.sources.rate_of)(account) else {
        return Admission::NoLimit;
    };
    let now = core.now();
    let until = deadline.min(now.after(ADMIT_WAIT));
    let outcome = core.controller.borrow_mut().admit(&limit, until, now);
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
    receiver
        .await
        .unwrap_or_else(|_| Admission::Refused(RateRefusal::without_answers(limit, ADMIT_WAIT)))
}

fn own_pools(core: &LimitsCore, map: &HomeMap) -> Vec<(PoolKey, HomeRole)> {
    match core.leaving.get() {
        true => Vec::new(),
        false => core.active.borrow().served(map, &core.sources.daemon),
    }
}

/// Gives up the loans of cells whose home is elsewhere; whether none is left.
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
        // A return that is lost costs only the time until the loans lapse.
        let call = LimitsCall::Return(back);
        let _ = core.call(address, call, LOAN_TIMEOUT).await;
    }
}

/// Gives up shares and loans.
pub(crate) async fn hand_over(core: &Rc<LimitsCore>) {
    if core.leaving.replace(true) {
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
    let released = lease_task::release(core).await;
    notify_released(core, released).await;
    while !close_foreign_pools(core) && !end.has_passed(core.now()) {
        actix_rt::time::sleep(TICK).await;
    }
}

/// Wakes a few peers, so that they claim what was released.
async fn notify_released(core: &Rc<LimitsCore>, released: ShareSet) {
    if released.is_empty() {
        return;
    }
    let members = core.map.borrow().members().to_vec();
    let others = members
        .into_iter()
        .filter(|member| member.daemon != core.sources.daemon);
    let calls = others
        .take(RELEASE_PEERS)
        .map(|member| core.call(member.address, LimitsCall::Released(released), LOAN_TIMEOUT));
    futures_util::future::join_all(calls).await;
}
