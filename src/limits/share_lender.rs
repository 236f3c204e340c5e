//! A holder's loans of its shares to the homes of the shards.

use std::net::SocketAddr;
use std::time::Duration;

use crate::hash::FastMap;
use crate::ids::BootId;
use crate::limits::{ClaimEpoch, SHARD_COUNT, ShardId, ShareSet, clock_margin};
use crate::logs::part;
use crate::time::{Deadline, MonoTime};
use crate::wire::{LoanAnswer, LoanAsk, LoanReturn, LoanWant, ShardLoan};

/// When a home asks again that may have been replaced: about as long as asking its address takes.
const UNCONFIRMED_WAIT: Duration = Duration::from_millis(100);

/// How a share came to its holder.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ShareOrigin {
    /// Nobody ever held it.
    NeverHeld,
    /// Another process held it before; its loans may still run.
    PreviouslyHeld,
}

/// Lends each share, shard by shard, to one home at a time.
#[derive(Debug)]
pub struct ShareLender {
    loan: Duration,
    /// The longest life of what a home grants from its loans.
    grant: Duration,
    epoch: ClaimEpoch,
    serial: u64,
    shares: FastMap<u8, LentShare>,
    /// The process that borrows from each address.
    homes: FastMap<SocketAddr, BootId>,
}

#[derive(Debug)]
struct LentShare {
    lease: Deadline,
    loans: Vec<LoanRecord>,
}

/// The last loan of a share for one shard.
#[derive(Debug, Clone, Copy)]
struct LoanRecord {
    borrower: Option<BootId>,
    serial: u64,
    /// When the share became or becomes unused; none when it never was used.
    unused_from: Option<MonoTime>,
    /// Whether loans of the holder before may still run.
    inherited: bool,
    /// Whether the borrower stands in for the home.
    is_backup: bool,
    /// Whether the home has asked meanwhile, so that the backup's loan is not renewed.
    is_reclaimed: bool,
}

impl LoanRecord {
    const fn new(origin: ShareOrigin, quarantine: MonoTime) -> Self {
        Self {
            borrower: None,
            serial: 0,
            unused_from: match origin {
                ShareOrigin::NeverHeld => None,
                ShareOrigin::PreviouslyHeld => Some(quarantine),
            },
            inherited: matches!(origin, ShareOrigin::PreviouslyHeld),
            is_backup: false,
            is_reclaimed: false,
        }
    }

    fn unused_millis(&self, now: MonoTime) -> u32 {
        self.unused_from.map_or(u32::MAX, |from| {
            u32::try_from(now.since(from).as_millis()).unwrap_or(u32::MAX - 1)
        })
    }

    fn is_unused(&self, now: MonoTime) -> bool {
        self.unused_from.is_none_or(|from| now >= from)
    }
}

impl ShareLender {
    /// A lender without shares, whose loans last `loan` and the grants from them at most `grant`;
    /// `epoch` differs between boots.
    #[must_use]
    pub fn open(loan: Duration, grant: Duration, epoch: ClaimEpoch) -> Self {
        Self {
            loan,
            grant,
            epoch,
            serial: 0,
            shares: FastMap::default(),
            homes: FastMap::default(),
        }
    }

    /// The shares held.
    #[must_use]
    pub fn shares(&self) -> ShareSet {
        self.shares.keys().copied().collect()
    }

    /// Starts to lend `share` until its `lease` ends.
    ///
    /// A taken share waits until the last loan of the holder before has ended,
    /// unless the home that has this loan renews it.
    pub fn claim(&mut self, share: u8, lease: Deadline, origin: ShareOrigin, now: MonoTime) {
        if let Some(held) = self.shares.get_mut(&share) {
            held.lease = lease;
            return;
        }
        self.epoch = self.epoch.next();
        let quarantine = now + clock_margin::lengthened(self.loan);
        let loans = vec![LoanRecord::new(origin, quarantine); usize::from(SHARD_COUNT)];
        self.shares.insert(share, LentShare { lease, loans });
    }

    /// Stops to lend `share`; its lease was lost or passed on.
    pub fn remove_share(&mut self, share: u8) {
        self.shares.remove(&share);
    }

    /// Answers a home's ask; `now` must be read after the ask came.
    pub fn lend(&mut self, ask: &LoanAsk, now: MonoTime) -> LoanAnswer {
        self.serial += 1;
        let mut answer = LoanAnswer {
            epoch: self.epoch,
            holds: self.shares(),
            serial: self.serial,
            loan_micros: to_micros(self.loan),
            wait_micros: 0,
            loans: Vec::with_capacity(ask.wants.len()),
        };
        if let Some(before) = self.unconfirmed_borrower(ask, now) {
            log::debug!(
                target: part::LIMITS,
                address:% = ask.address, before:%, borrower:% = ask.borrower;
                "Nothing lent: another process borrowed from this address before."
            );
            answer.wait_micros = to_micros(UNCONFIRMED_WAIT);
            return answer;
        }
        self.homes.insert(ask.address, ask.borrower);
        let knows_epoch = ask.epoch == self.epoch;
        for want in &ask.wants {
            self.lend_shard(ask.borrower, knows_epoch, want, now, &mut answer);
        }
        answer
    }

    /// The process that has borrowed from the address of `ask`, if it is another one and its loans
    /// still run.
    ///
    /// It may be the one that `ask` comes from that is gone: ask the address before lending.
    #[must_use]
    pub fn unconfirmed_borrower(&self, ask: &LoanAsk, now: MonoTime) -> Option<BootId> {
        let before = self.homes.get(&ask.address).copied();
        let is_other = |before: &BootId| *before != ask.borrower && self.has_loans(*before, now);
        before.filter(is_other)
    }

    fn has_loans(&self, borrower: BootId, now: MonoTime) -> bool {
        let mut records = self.shares.values().flat_map(|held| &held.loans);
        records.any(|record| record.borrower == Some(borrower) && !record.is_unused(now))
    }

    /// The process `boot` answers at `address`, where `before` borrowed when it was called.
    ///
    /// That one is gone then, and its loans are idle once the last grant from them has ended.
    pub fn replace_borrower(
        &mut self,
        address: SocketAddr,
        before: BootId,
        boot: BootId,
        now: MonoTime,
    ) {
        // A late answer must not end the loans of the process that came next.
        if self.homes.get(&address) != Some(&before) || before == boot {
            return;
        }
        self.homes.insert(address, boot);
        let unused_from = now + clock_margin::lengthened(self.grant);
        let records = self.shares.values_mut().flat_map(|held| &mut held.loans);
        for record in records.filter(|record| record.borrower == Some(before)) {
            record.borrower = None;
            record.unused_from = record.unused_from.map(|from| from.min(unused_from));
        }
        log::info!(
            target: part::LIMITS,
            address:%, before:%, boot:%;
            "A home was replaced; what it borrowed is lent again once its last grants have ended."
        );
    }

    /// Ends loans that their home will not use again.
    pub fn accept_return(&mut self, back: &LoanReturn, now: MonoTime) {
        for loan in &back.loans {
            for share in loan.shares.iter() {
                let Some(record) = self.record(share, loan.shard) else {
                    continue;
                };
                if record.borrower == Some(back.borrower) && record.serial == loan.serial {
                    record.borrower = None;
                    record.unused_from = record.unused_from.map(|from| from.min(now));
                }
            }
        }
    }

    fn record(&mut self, share: u8, shard: ShardId) -> Option<&mut LoanRecord> {
        self.shares.get_mut(&share)?.loans.get_mut(shard.index()?)
    }

    fn lend_shard(
        &mut self,
        borrower: BootId,
        knows_epoch: bool,
        want: &LoanWant,
        now: MonoTime,
        answer: &mut LoanAnswer,
    ) {
        for share in want.wanted.intersection(answer.holds).iter() {
            let proves_loan = knows_epoch && want.held.contains(share);
            match self.lend_share(borrower, proves_loan, share, want, now) {
                LendOutcome::Lent(rest_millis) => add_loan(answer, want.shard, share, rest_millis),
                LendOutcome::Withheld(wait) => {
                    let wait = to_micros(wait).max(1);
                    let sooner = answer.wait_micros == 0 || wait < answer.wait_micros;
                    answer.wait_micros = if sooner { wait } else { answer.wait_micros };
                }
                LendOutcome::Unavailable => {}
            }
        }
    }

    fn lend_share(
        &mut self,
        borrower: BootId,
        proves_loan: bool,
        share: u8,
        want: &LoanWant,
        now: MonoTime,
    ) -> LendOutcome {
        let (loan, serial) = (self.loan, self.serial);
        let Some(held) = self.shares.get_mut(&share) else {
            return LendOutcome::Unavailable;
        };
        if held.lease.remaining(now) < loan {
            return LendOutcome::Unavailable;
        }
        let index = want.shard.index();
        let Some(record) = index.and_then(|index| held.loans.get_mut(index)) else {
            return LendOutcome::Unavailable;
        };
        let renewed = record.borrower == Some(borrower) || (proves_loan && record.inherited);
        let is_yielded = renewed && want.is_backup && record.is_reclaimed;
        if (!renewed || is_yielded) && !record.is_unused(now) {
            record.is_reclaimed |= record.is_backup && !want.is_backup;
            let from = record.unused_from.unwrap_or(now);
            return LendOutcome::Withheld(from.since(now));
        }
        let rest_millis = record.unused_millis(now);
        *record = LoanRecord {
            borrower: Some(borrower),
            serial,
            unused_from: Some(now + loan),
            inherited: false,
            is_backup: want.is_backup,
            is_reclaimed: false,
        };
        LendOutcome::Lent(rest_millis)
    }
}

enum LendOutcome {
    Lent(u32),
    Withheld(Duration),
    Unavailable,
}

fn add_loan(answer: &mut LoanAnswer, shard: ShardId, share: u8, rest_millis: u32) {
    let last = answer.loans.last_mut();
    match last.filter(|loan| loan.shard == shard && loan.rest_millis == rest_millis) {
        Some(loan) => loan.shares.insert(share),
        None => answer.loans.push(ShardLoan {
            shard,
            shares: ShareSet::single(share),
            rest_millis,
        }),
    }
}

fn to_micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}
