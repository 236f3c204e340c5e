//! Lending of leased shares, which are equal parts of every rate limit, to the daemons that pool
//! them in token buckets.

use std::net::SocketAddr;
use std::time::Duration;

use crate::hash::FastMap;
use crate::ids::BootId;
use crate::limits::{ClaimEpoch, SHARD_COUNT, ShardId, ShareOrigin, ShareSet, clock_margin};
use crate::logs::log_target;
use crate::time::{Deadline, MonoTime};
use crate::wire::{LoanDemand, LoanReply, LoanRequest, LoanReturn, ShardLoan};

/// When a home whose predecessor is unconfirmed should retry: about as long as it takes to call its
/// address.
const UNCONFIRMED_WAIT: Duration = Duration::from_millis(100);

/// How long an unused share that its home has requested is kept from the backup. The home asks again
/// in this time.
const HOME_PRECEDENCE: Duration = Duration::from_millis(400);

/// Lends each leased share, separately for each shard, to one home at a time.
#[derive(Debug)]
pub struct ShareLender {
    loan: Duration,
    /// Longest life of a grant that a home issues from a loan.
    grant: Duration,
    epoch: ClaimEpoch,
    serial: u64,
    shares: FastMap<u8, LentShare>,
    /// The process that last borrowed from each peer address.
    borrowers: FastMap<SocketAddr, BootId>,
}

#[derive(Debug)]
struct LentShare {
    lease: Deadline,
    loans: Vec<LoanRecord>,
}

/// The latest loan of a share for one shard.
#[derive(Debug, Clone, Copy)]
struct LoanRecord {
    borrower: Option<BootId>,
    serial: u64,
    /// When the share becomes, or became, unused. `None` if it was never used.
    unused_from: Option<MonoTime>,
    /// Whether a loan from the previous lease holder may not have expired yet.
    inherited: bool,
    /// Whether the borrower is the backup of the home.
    is_backup: bool,
    /// Whether the home has requested the share since, so that the backup's loan is not renewed.
    is_reclaimed: bool,
}

impl LoanRecord {
    const fn new(origin: ShareOrigin, quarantine: MonoTime) -> Self {
        Self {
            borrower: None,
            serial: 0,
            unused_from: match origin {
                ShareOrigin::NeverHeld => None,
                ShareOrigin::PreviouslyHeld | ShareOrigin::EarlierRun => Some(quarantine),
            },
            inherited: !matches!(origin, ShareOrigin::NeverHeld),
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
    /// Creates a lender without shares. `loan` is the duration of a loan and `grant` the longest
    /// life of a grant from it. `epoch` must differ between boots.
    #[must_use]
    pub fn open(loan: Duration, grant: Duration, epoch: ClaimEpoch) -> Self {
        Self {
            loan,
            grant,
            epoch,
            serial: 0,
            shares: FastMap::default(),
            borrowers: FastMap::default(),
        }
    }

    /// The shares that can be lent.
    #[must_use]
    pub fn shares(&self) -> ShareSet {
        self.shares.keys().copied().collect()
    }

    /// Adds `share`, to be lent until its `lease` expires, or extends its lease.
    ///
    /// A share that was held by another process is quarantined until the last loan from that
    /// process, made at `last_loan` at the latest, has expired, unless the home that has this loan
    /// renews it.
    pub fn claim(&mut self, share: u8, lease: Deadline, origin: ShareOrigin, last_loan: MonoTime) {
        if let Some(held) = self.shares.get_mut(&share) {
            held.lease = lease;
            return;
        }
        self.epoch = self.epoch.next();
        let quarantine = last_loan + clock_margin::lengthened(self.loan);
        let loans = vec![LoanRecord::new(origin, quarantine); usize::from(SHARD_COUNT)];
        self.shares.insert(share, LentShare { lease, loans });
    }

    /// Stops lending `share`, whose lease was lost or released.
    pub fn remove_share(&mut self, share: u8) {
        self.shares.remove(&share);
    }

    /// Answers a loan request. `now` must be read after the request was received: a loan must not
    /// start before it.
    pub fn lend(&mut self, ask: &LoanRequest, now: MonoTime) -> LoanReply {
        self.serial += 1;
        let mut answer = LoanReply {
            epoch: self.epoch,
            held_shares: self.shares(),
            serial: self.serial,
            loan_micros: to_micros(self.loan),
            retry_micros: 0,
            loans: Vec::with_capacity(ask.demands.len()),
        };
        if let Some(before) = self.unconfirmed_borrower(ask, now) {
            log::debug!(
                target: log_target::LIMITS,
                address:% = ask.address, before:%, borrower:% = ask.borrower;
                "Loan refused: another process borrowed from this address and may still use its loans."
            );
            answer.retry_micros = to_micros(UNCONFIRMED_WAIT);
            return answer;
        }
        self.borrowers.insert(ask.address, ask.borrower);
        let knows_epoch = ask.epoch == self.epoch;
        for want in &ask.demands {
            self.lend_shard(ask.borrower, knows_epoch, want, now, &mut answer);
        }
        answer
    }

    /// The process that borrowed from the address of `ask` before, if it is not the sender of `ask`
    /// and its loans have not expired.
    ///
    /// Either of the two may be the process that is gone, since messages can be delayed. Call the
    /// address to identify the live one before lending.
    #[must_use]
    pub fn unconfirmed_borrower(&self, ask: &LoanRequest, now: MonoTime) -> Option<BootId> {
        let before = self.borrowers.get(&ask.address).copied();
        let is_other = |before: &BootId| *before != ask.borrower && self.has_loans(*before, now);
        before.filter(is_other)
    }

    fn has_loans(&self, borrower: BootId, now: MonoTime) -> bool {
        let mut records = self.shares.values().flat_map(|held| &held.loans);
        records.any(|record| record.borrower == Some(borrower) && !record.is_unused(now))
    }

    /// Records that the process `boot` answers at `address`, from which `before` had borrowed when
    /// the call was sent.
    ///
    /// Two processes cannot have the same address, so `before` is gone. Its loans become unused
    /// once the last grant from them has expired.
    pub fn replace_borrower(
        &mut self,
        address: SocketAddr,
        before: BootId,
        boot: BootId,
        now: MonoTime,
    ) {
        // An outdated answer must not end the loans of a later process at this address.
        if self.borrowers.get(&address) != Some(&before) || before == boot {
            return;
        }
        self.borrowers.insert(address, boot);
        let unused_from = now + clock_margin::lengthened(self.grant);
        let records = self.shares.values_mut().flat_map(|held| &mut held.loans);
        for record in records.filter(|record| record.borrower == Some(before)) {
            record.borrower = None;
            record.unused_from = record.unused_from.map(|from| from.min(unused_from));
        }
        log::info!(
            target: log_target::LIMITS,
            address:%, before:%, boot:%;
            "Home replaced: its loans are lent again once the last grants from them have expired."
        );
    }

    /// Ends loans that a home returned. A return of a loan that was renewed since has no effect.
    pub fn accept_return(&mut self, back: &LoanReturn, now: MonoTime) {
        for loan in &back.loans {
            for share in loan.shares.iter() {
                let Some(record) = self.loan_record(share, loan.shard) else {
                    continue;
                };
                if record.borrower == Some(back.borrower) && record.serial == loan.serial {
                    record.borrower = None;
                    record.unused_from = record.unused_from.map(|from| from.min(now));
                }
            }
        }
    }

    fn loan_record(&mut self, share: u8, shard: ShardId) -> Option<&mut LoanRecord> {
        self.shares.get_mut(&share)?.loans.get_mut(shard.index()?)
    }

    fn lend_shard(
        &mut self,
        borrower: BootId,
        knows_epoch: bool,
        want: &LoanDemand,
        now: MonoTime,
        answer: &mut LoanReply,
    ) {
        for share in want.wanted.intersection(answer.held_shares).iter() {
            let proves_loan = knows_epoch && want.held.contains(share);
            match self.lend_share(borrower, proves_loan, share, want, now) {
                LendOutcome::Lent(rest_millis) => add_loan(answer, want.shard, share, rest_millis),
                LendOutcome::Withheld(wait) => {
                    let wait = to_micros(wait).max(1);
                    let sooner = answer.retry_micros == 0 || wait < answer.retry_micros;
                    answer.retry_micros = if sooner { wait } else { answer.retry_micros };
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
        want: &LoanDemand,
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
        let is_yielded = want.is_backup && record.is_reclaimed;
        let kept_until = record.unused_from.map(|from| from + HOME_PRECEDENCE);
        if is_yielded && kept_until.is_some_and(|until| now < until) {
            return LendOutcome::Withheld(kept_until.unwrap_or(now).since(now));
        }
        if !renewed && !record.is_unused(now) {
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

fn add_loan(answer: &mut LoanReply, shard: ShardId, share: u8, rest_millis: u32) {
    let last = answer.loans.last_mut();
    match last.filter(|loan| loan.shard == shard && loan.unused_millis == rest_millis) {
        Some(loan) => loan.shares.insert(share),
        None => answer.loans.push(ShardLoan {
            shard,
            shares: ShareSet::single(share),
            unused_millis: rest_millis,
        }),
    }
}

fn to_micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}
