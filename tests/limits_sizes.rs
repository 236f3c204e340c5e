//! Sizes of messages and of a home's state. Prints the figures for the capacity documentation.

mod limits_kit;

use std::time::Duration;

use limits_kit::rate_limit;
use wagtailtrack::ids::BootId;
use wagtailtrack::limits::{ClaimEpoch, GrantIssuer, PoolKey, PooledLoan, ShardId, ShareSet};
use wagtailtrack::time::{Deadline, MonoTime};
use wagtailtrack::wire::{
    GrantDemand, GrantOutcome, GrantReply, GrantRequest, GrantUsage, LimitsCall, LimitsReply,
    LoanDemand, LoanReply, LoanRequest, PeerCall, PeerOpening, PeerReply, ShardLoan, TokenGrant,
    encode,
};

const FAR_FUTURE: Deadline = Deadline::at(MonoTime::from_millis(1_000_000));

fn call_bytes(call: LimitsCall) -> usize {
    encode(&PeerOpening::Call(PeerCall::Limits(call)))
        .unwrap()
        .len()
}

fn reply_bytes(reply: LimitsReply) -> usize {
    encode(&PeerReply::Limits(reply)).unwrap().len()
}

fn want(index: usize) -> GrantDemand {
    GrantDemand {
        account: format!("tenant-{index:05}").parse().unwrap(),
        half: 1,
        waiting: 1,
        prefetch: 12,
        uses: vec![GrantUsage {
            grant: 70_000,
            spent: 12,
            closed: true,
        }],
    }
}

fn grant_bytes(count: usize) -> [usize; 2] {
    let grant = TokenGrant {
        grant: 70_001,
        tokens: 13,
        lifetime_micros: 1_000_000,
        report_at_once: false,
    };
    let ask = GrantRequest {
        ingress: BootId(u64::MAX),
        home: BootId(u64::MAX),
        demands: (0..count).map(want).collect(),
    };
    let answer = GrantReply {
        home: BootId(u64::MAX),
        outcomes: vec![GrantOutcome::Tokens(grant); count],
    };
    [
        call_bytes(LimitsCall::Grant(ask)),
        reply_bytes(LimitsReply::Grants(answer)),
    ]
}

fn loan_bytes(pools: u16) -> [usize; 2] {
    let shares = ShareSet::half(0).intersection(ShareSet::first(16));
    let wants = (0..pools).map(|shard| LoanDemand {
        shard: ShardId(shard),
        wanted: shares,
        held: shares,
        is_backup: false,
    });
    let loans = (0..pools).map(|shard| ShardLoan {
        shard: ShardId(shard),
        shares,
        unused_millis: 0,
    });
    let ask = LoanRequest {
        borrower: BootId(u64::MAX),
        address: "255.255.255.255:65535".parse().unwrap(),
        epoch: ClaimEpoch(u64::MAX),
        demands: wants.collect(),
    };
    let answer = LoanReply {
        epoch: ClaimEpoch(u64::MAX),
        held_shares: ShareSet::first(16),
        serial: 1_000_000,
        loan_micros: 4_000_000,
        retry_micros: 0,
        loans: loans.collect(),
    };
    [
        call_bytes(LimitsCall::Borrow(ask)),
        reply_bytes(LimitsReply::Loans(answer)),
    ]
}

fn resident_bytes() -> usize {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap();
    text.split(' ').nth(1).unwrap().parse::<usize>().unwrap() * 4_096
}

/// A home with loans for every pool and one open grant for each account.
fn issuer_of(accounts: usize) -> GrantIssuer {
    let mut issuer = GrantIssuer::open(BootId(1), 2, Duration::from_secs(1));
    for key in PoolKey::all() {
        let loan = PooledLoan {
            share: key.half,
            lender: "vm-0".parse().unwrap(),
            serial: 1,
            until: FAR_FUTURE,
        };
        issuer.add_loan(key, loan, Duration::from_secs(1_000), MonoTime::ZERO);
    }
    for index in 0..accounts {
        let ask = GrantRequest {
            ingress: BootId(2),
            home: BootId(1),
            demands: vec![want(index)],
        };
        let limit = |_: &_| Some(rate_limit(&format!("tenant-{index:05}"), 10, 20));
        issuer.grant(&ask, &limit, MonoTime::ZERO);
    }
    issuer
}

/// A token request must stay below 32 bytes per account.
#[test]
fn message_sizes() {
    for count in [1, 10, 100] {
        let [ask, answer] = grant_bytes(count);
        eprintln!("grant of {count} accounts: ask {ask}, answer {answer} bytes");
    }
    for pools in [1, 8, 64] {
        let [ask, answer] = loan_bytes(pools);
        eprintln!("loan of {pools} pools: ask {ask}, answer {answer} bytes");
    }
    assert!(
        grant_bytes(100)[0] < 100 * 32,
        "an account takes more than expected"
    );
}

/// Prints the memory of a bucket with an open grant. Each account has exactly one.
#[test]
fn account_state() {
    for accounts in [1_000, 10_000, 100_000] {
        let before = resident_bytes();
        let start = std::time::Instant::now();
        let issuer = issuer_of(accounts);
        let (state, time) = (resident_bytes() - before, start.elapsed());
        let each = state / accounts;
        eprintln!("{accounts} accounts: {each} bytes each, {time:?} to grant to all");
        assert_eq!(issuer.account_count(), accounts);
        std::mem::forget(issuer);
    }
}
