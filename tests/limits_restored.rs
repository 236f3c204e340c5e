//! Leases of rate limit shares when the store comes back from a copy, without the newest rows.

mod limits_kit;

use std::net::SocketAddr;

use limits_kit::MemoryTable;
use wagtailtrack::ids::{BootId, StoreEra};
use wagtailtrack::limits::{LeaseHolder, LeaseIdentity, SHARE_PREFIX, ShareSet};
use wagtailtrack::time::MonoTime;
use wagtailtrack::units::TimeSpan;

const LEASE: TimeSpan = TimeSpan::from_secs(10);

const fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(millis)
}

fn holder(number: u16) -> LeaseHolder {
    let identity = LeaseIdentity {
        daemon: format!("vm-{number}").parse().unwrap(),
        address: SocketAddr::from(([127, 0, 0, 1], number)),
        boot: BootId(u64::from(number)),
    };
    LeaseHolder::open(identity, LEASE, 1)
}

fn scan(holder: &mut LeaseHolder, table: &MemoryTable, era: u64, millis: u64) {
    holder.enter_era(StoreEra(era), at(millis));
    holder.observe(&table.rows(SHARE_PREFIX), at(millis));
}

/// Scans the table and commits what the holder plans then.
fn commit(holder: &mut LeaseHolder, table: &MemoryTable, era: u64, millis: u64) {
    scan(holder, table, era, millis);
    let plan = holder.plan(1, at(millis)).unwrap();
    table.apply(&plan.transaction());
    holder.record_commit(&plan, at(millis));
}

/// Guards against a share with two holders, which lets accounts over their rates: the copy names the
/// holder before, which had released the share.
#[test]
fn restored_release() {
    let table = MemoryTable::open();
    let [mut former, mut present, mut other, mut newcomer] = [1, 2, 3, 4].map(holder);
    commit(&mut former, &table, 1, 0);
    scan(&mut other, &table, 1, 50);
    table.apply(&former.release(at(100)).unwrap().transaction());
    let copy = table.rows(SHARE_PREFIX);
    scan(&mut other, &table, 1, 150);
    commit(&mut present, &table, 1, 200);
    table.restore(copy);
    for claimant in [&mut former, &mut other, &mut newcomer] {
        scan(claimant, &table, 2, 1_000);
        assert_eq!(claimant.claimable(at(9_000)), ShareSet::EMPTY);
    }
    scan(&mut present, &table, 2, 1_000);
    assert_eq!(present.held(), ShareSet::single(0));
    assert!(present.has_lost_row());
    commit(&mut present, &table, 2, 1_000);
    assert!(!present.has_lost_row());
    scan(&mut other, &table, 2, 5_000);
    assert_eq!(other.claimable(at(13_000)), ShareSet::EMPTY);
}

/// Guards against a share with two holders because the copy is older than the first row of the share.
#[test]
fn restored_without_row() {
    let table = MemoryTable::open();
    let [mut present, mut other] = [1, 2].map(holder);
    scan(&mut other, &table, 1, 0);
    commit(&mut present, &table, 1, 100);
    table.restore(Vec::new());
    scan(&mut other, &table, 2, 1_000);
    assert_eq!(other.claimable(at(10_000)), ShareSet::EMPTY);
    scan(&mut present, &table, 2, 1_000);
    assert_eq!(present.held(), ShareSet::single(0));
    commit(&mut present, &table, 2, 1_000);
    scan(&mut other, &table, 2, 5_000);
    assert_eq!(other.claimable(at(14_000)), ShareSet::EMPTY);
}

/// A share whose holder did not survive the restore is claimed once the lease must have ended.
#[test]
fn holder_lost() {
    let table = MemoryTable::open();
    let [mut lost, mut other] = [1, 2].map(holder);
    commit(&mut lost, &table, 1, 0);
    scan(&mut other, &table, 2, 1_000);
    scan(&mut other, &table, 2, 13_000);
    assert_eq!(other.claimable(at(13_000)), ShareSet::single(0));
    commit(&mut other, &table, 2, 13_000);
    scan(&mut lost, &table, 2, 13_100);
    assert_eq!(lost.held(), ShareSet::EMPTY);
}
