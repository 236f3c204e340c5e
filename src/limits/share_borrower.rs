//! Borrowing of shares, which are equal parts of every rate limit: schedules the calls to the
//! daemons that lease them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::ids::{BootId, DaemonId};
use crate::limits::{
    ClaimEpoch, GrantIssuer, HomeMap, HomeRole, PoolKey, PooledLoan, ShareSet, clock_margin,
};
use crate::time::MonoTime;
use crate::wire::{LoanDemand, LoanReply, LoanRequest};

/// Longest wait before a lender that withheld shares is called again.
const WITHHELD_WAIT: Duration = Duration::from_millis(200);
/// Wait before a lender that did not answer is called again.
const FAILURE_WAIT: Duration = Duration::from_millis(300);
/// First wait while some shares have no known lender. It doubles with each answer that brings
/// nothing new.
const SEARCH_WAIT: Duration = Duration::from_millis(100);
/// Interval of calls to daemons without shares once the lender of every share is known.
const IDLE_WAIT: Duration = Duration::from_secs(10);
/// Interval of calls to daemons that may not lease shares, one at a time, while some shares have no
/// known lender: a daemon with another view of the fleet may hold them.
const STRAY_WAIT: Duration = Duration::from_secs(1);

/// After this many doublings the wait exceeds every upper bound.
const MAX_DOUBLINGS: u32 = 10;

/// Decides when to call which lender, and adds the loans in its answers to the token pools.
///
/// It calls the daemons that may lease shares and those that held some as of their last answer, so
/// that the number of calls does not grow with the fleet.
#[derive(Debug)]
pub struct ShareBorrower {
    boot: BootId,
    address: SocketAddr,
    total: u32,
    loan: Duration,
    pools: Vec<(PoolKey, HomeRole)>,
    lenders: BTreeMap<DaemonId, LenderView>,
    /// Live daemons that are not among `lenders`.
    others: Vec<DaemonId>,
    next_other: usize,
    next_other_at: MonoTime,
    next_call: u64,
}

/// A lender as of its last answer.
#[derive(Debug, Default)]
struct LenderView {
    epoch: ClaimEpoch,
    holds: ShareSet,
    /// When to call the lender next.
    next: MonoTime,
    pending: Option<PendingCall>,
    /// Consecutive answers that changed neither epoch nor shares.
    unchanged_answers: u32,
}

#[derive(Debug, Clone, Copy)]
struct PendingCall {
    number: u64,
    sent: MonoTime,
}

impl LenderView {
    fn record(&mut self, answer: &LoanReply) {
        let is_changed = self.epoch != answer.epoch || self.holds != answer.held_shares;
        self.unchanged_answers = if is_changed {
            0
        } else {
            self.unchanged_answers + 1
        };
        self.epoch = answer.epoch;
        self.holds = answer.held_shares;
        self.pending = None;
    }

    fn search_wait(&self) -> Duration {
        SEARCH_WAIT * 2u32.saturating_pow(self.unchanged_answers.min(MAX_DOUBLINGS))
    }
}

/// A call that requests loans from a lender.
#[derive(Debug, Clone)]
pub struct LoanCall {
    /// The daemon to call.
    pub lender: DaemonId,
    /// Sequence number, to be passed to `record_answer` or `record_failure`.
    pub number: u64,
    /// The message.
    pub ask: LoanRequest,
}

impl ShareBorrower {
    /// Creates a borrower for a home with the boot id `boot` at the peer address `address`. `loan`
    /// is the duration of a loan and `total` the number of shares.
    #[must_use]
    pub fn open(boot: BootId, address: SocketAddr, total: u32, loan: Duration) -> Self {
        Self {
            boot,
            address,
            total,
            loan,
            pools: Vec::new(),
            lenders: BTreeMap::new(),
            others: Vec::new(),
            next_other: 0,
            next_other_at: MonoTime::ZERO,
            next_call: 0,
        }
    }

    /// Sets the live daemons and the pools that this daemon serves.
    pub fn update_pools(&mut self, map: &HomeMap, pools: Vec<(PoolKey, HomeRole)>, now: MonoTime) {
        let shares_before = self.known_shares();
        let known = std::mem::take(&mut self.lenders);
        for (daemon, view) in known {
            let keeps = map.is_lender(&daemon, self.total) || !view.holds.is_empty();
            if keeps && map.member(&daemon).is_some() {
                self.lenders.insert(daemon, view);
            }
        }
        for lender in map.lenders(self.total) {
            self.lenders.entry(lender.daemon.clone()).or_default();
        }
        let members = map.members().iter().map(|member| &member.daemon);
        let others = members.filter(|daemon| !self.lenders.contains_key(*daemon));
        self.others = others.cloned().collect();
        let is_new = |key| !self.pools.contains(key);
        if self.known_shares() != shares_before || pools.iter().any(is_new) {
            self.schedule_all(now);
        }
        self.pools = pools;
    }

    /// Makes a call to every lender due now.
    pub fn schedule_all(&mut self, now: MonoTime) {
        for view in self.lenders.values_mut() {
            view.next = view.next.min(now);
            view.unchanged_answers = 0;
        }
    }

    /// The calls that are due, to be sent at `now`.
    pub fn due_calls(&mut self, issuer: &GrantIssuer, now: MonoTime) -> Vec<LoanCall> {
        if self.pools.is_empty() {
            return Vec::new();
        }
        self.call_other(now);
        let mut calls = Vec::new();
        for (lender, view) in &mut self.lenders {
            if view.pending.is_some() || now < view.next {
                continue;
            }
            self.next_call += 1;
            let number = self.next_call;
            view.pending = Some(PendingCall { number, sent: now });
            calls.push(LoanCall {
                lender: lender.clone(),
                number,
                ask: LoanRequest {
                    borrower: self.boot,
                    address: self.address,
                    epoch: view.epoch,
                    demands: loan_wants(&self.pools, self.total, view.holds, issuer, now),
                },
            });
        }
        calls
    }

    /// Adds another live daemon to the lenders to call, if one is due.
    fn call_other(&mut self, now: MonoTime) {
        if now < self.next_other_at || self.others.is_empty() {
            return;
        }
        if self.known_shares().len() >= self.total {
            return;
        }
        self.next_other_at = now + STRAY_WAIT;
        self.next_other = (self.next_other + 1) % self.others.len();
        let other = self.others.swap_remove(self.next_other);
        self.lenders.insert(other, LenderView::default());
    }

    /// Adds the loans of the answer to call `number` to `issuer`. An answer that is repeated, or
    /// that arrives after the call was recorded as failed, has no effect.
    pub fn record_answer(
        &mut self,
        lender: &DaemonId,
        number: u64,
        answer: &LoanReply,
        issuer: &mut GrantIssuer,
        now: MonoTime,
    ) {
        let is_complete = self.known_shares().union(answer.held_shares).len() >= self.total;
        let renew = self.loan / 2;
        let Some(view) = self.lenders.get_mut(lender) else {
            return;
        };
        let Some(pending) = view.pending.filter(|pending| pending.number == number) else {
            return;
        };
        let is_new_epoch = view.epoch != answer.epoch;
        let has_lost = !view.holds.difference(answer.held_shares).is_empty();
        view.record(answer);
        add_loans(lender, pending, answer, issuer, now);
        let wanted = self.pools.iter().map(|(key, _)| ShareSet::half(key.half));
        let wanted = wanted.fold(ShareSet::EMPTY, ShareSet::union);
        let longest = if answer.held_shares.intersection(wanted).is_empty() {
            IDLE_WAIT
        } else {
            renew
        };
        let withheld = Duration::from_micros(answer.retry_micros);
        let wait = match (withheld.is_zero(), is_complete) {
            (false, _) if is_new_epoch => Duration::ZERO,
            (false, _) => WITHHELD_WAIT.min(withheld),
            (true, false) => view.search_wait().min(longest),
            (true, true) => longest,
        };
        view.next = now + wait;
        if has_lost {
            self.schedule_all(now);
        }
    }

    /// Records that call `number` failed.
    pub fn record_failure(&mut self, lender: &DaemonId, number: u64, now: MonoTime) {
        if let Some(view) = self.lenders.get_mut(lender)
            && view.pending.is_some_and(|pending| pending.number == number)
        {
            view.pending = None;
            view.next = now + FAILURE_WAIT;
        }
    }

    /// The shares that some lender held as of its last answer.
    #[must_use]
    pub fn known_shares(&self) -> ShareSet {
        let holds = self.lenders.values().map(|view| view.holds);
        holds.fold(ShareSet::EMPTY, ShareSet::union)
    }
}

fn loan_wants(
    pools: &[(PoolKey, HomeRole)],
    total: u32,
    holds: ShareSet,
    issuer: &GrantIssuer,
    now: MonoTime,
) -> Vec<LoanDemand> {
    let all = ShareSet::first(total);
    let wanted_of = |half| ShareSet::half(half).intersection(all);
    let pools = pools.iter();
    pools
        .map(|(key, role)| LoanDemand {
            shard: key.shard,
            wanted: wanted_of(key.half),
            held: issuer.live_shares(*key, now).intersection(holds),
            is_backup: *role == HomeRole::Backup,
        })
        .collect()
}

fn add_loans(
    lender: &DaemonId,
    pending: PendingCall,
    answer: &LoanReply,
    issuer: &mut GrantIssuer,
    now: MonoTime,
) {
    let life = clock_margin::shortened(Duration::from_micros(answer.loan_micros));
    for lent in &answer.loans {
        for share in lent.shares.iter() {
            let key = PoolKey {
                shard: lent.shard,
                half: share & 1,
            };
            let loan = PooledLoan {
                share,
                lender: lender.clone(),
                serial: answer.serial,
                until: pending.sent.after(life),
            };
            let unused_for = Duration::from_millis(u64::from(lent.unused_millis));
            issuer.add_loan(key, loan, unused_for, now);
        }
    }
}
