//! Which connections a server closes or refuses when clients take all that it may have.

use wagtailtrack::http::{
    AcceptedConnection, ConnectionId, ConnectionLimits, ConnectionTable, ConnectionWait,
    IDLE_BYTES, MemoryGrowth,
};
use wagtailtrack::time::MonoTime;
use wagtailtrack::units::ByteSize;

const CONNECTIONS: usize = 4;
const MEMORY: u64 = 1024 * 1024;

fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(millis)
}

fn table() -> ConnectionTable {
    ConnectionTable::open(ConnectionLimits {
        connections: CONNECTIONS,
        memory: ByteSize::from_bytes(MEMORY),
    })
}

fn accept(table: &mut ConnectionTable, millis: u64) -> AcceptedConnection {
    table.accept(at(millis)).unwrap()
}

/// A full table, whose connections were accepted at 0, 1, 2 and 3 ms, with what each waits for.
fn full_table(wait: impl Fn(u64) -> ConnectionWait) -> (ConnectionTable, Vec<ConnectionId>) {
    let mut table = table();
    let ids: Vec<_> = (0..CONNECTIONS as u64)
        .map(|millis| {
            let id = accept(&mut table, millis).id;
            table.set_wait(id, wait(millis));
            id
        })
        .collect();
    (table, ids)
}

#[test]
fn longest_idle_is_closed() {
    let (mut table, ids) = full_table(|millis| ConnectionWait::NextRequest(at(millis)));
    table.set_wait(ids[0], ConnectionWait::NextRequest(at(4)));
    let accepted = accept(&mut table, 5);
    assert_eq!(accepted.closed, [ids[1]]);
    assert!(!accepted.is_refused);
    assert_eq!(table.counts().open, CONNECTIONS as u64);
    assert_eq!(table.counts().closed, 1);
}

/// Guards against connections closed while the server works for their clients.
#[test]
fn newcomer_is_refused_beside_work() {
    let (mut table, _) = full_table(|_| ConnectionWait::Server);
    let accepted = accept(&mut table, 60_000);
    assert!(accepted.is_refused && accepted.closed.is_empty());
    assert!(table.accept(at(60_001)).is_none());
    assert_eq!(table.counts().refused, 2);
    table.end(accepted.id);
    assert!(accept(&mut table, 60_002).is_refused);
}

/// Guards against a client that blocks all connections and so shuts others out for good.
#[test]
fn stalled_client_is_closed() {
    let (mut table, ids) = full_table(|millis| ConnectionWait::Client(at(millis)));
    let early = accept(&mut table, 999);
    assert!(early.is_refused);
    table.end(early.id);
    let accepted = accept(&mut table, 1_000);
    assert!(!accepted.is_refused);
    assert_eq!(accepted.closed, [ids[0]]);
}

#[test]
fn memory_of_stalled_clients_is_taken() {
    let (mut table, ids) = full_table(|millis| ConnectionWait::Client(at(millis)));
    let third = MEMORY as usize / 3;
    for id in &ids[..2] {
        assert!(
            table
                .set_bytes(*id, third, MemoryGrowth::Refusable, at(10))
                .fits
        );
    }
    let early = table.set_bytes(ids[2], third, MemoryGrowth::Refusable, at(500));
    assert!(!early.fits && early.closed.is_empty());
    let late = table.set_bytes(ids[2], third + 1, MemoryGrowth::Refusable, at(1_500));
    assert!(late.fits);
    assert_eq!(late.closed, [ids[0]]);
}

/// Guards against memory far over the limit, where clients stall at the same moment.
#[test]
fn memory_is_bounded_at_once() {
    let (mut table, ids) = full_table(|millis| ConnectionWait::Client(at(millis)));
    for id in &ids {
        table.set_bytes(*id, MEMORY as usize / 2, MemoryGrowth::Refusable, at(10));
        assert!(table.counts().bytes <= MEMORY + MEMORY / 4);
    }
}

/// Guards against idle connections that are closed where that makes no room.
#[test]
fn none_is_closed_in_vain() {
    let (mut table, ids) = full_table(|millis| ConnectionWait::NextRequest(at(millis)));
    table.set_wait(ids[3], ConnectionWait::Server);
    let change = table.set_bytes(ids[3], MEMORY as usize + 1, MemoryGrowth::Refusable, at(10));
    assert!(!change.fits && change.closed.is_empty());
    table.set_bytes(ids[3], MEMORY as usize, MemoryGrowth::Refusable, at(10));
    assert!(accept(&mut table, 11).is_refused);
    assert_eq!(table.counts().closed, 0);
}

/// Guards against memory that stays over the limit because what can be freed is not all that is needed.
#[test]
fn response_takes_what_there_is() {
    let (mut table, ids) = full_table(|millis| ConnectionWait::NextRequest(at(millis)));
    table.set_wait(ids[3], ConnectionWait::Server);
    let bytes = MEMORY as usize + 1;
    let change = table.set_bytes(ids[3], bytes, MemoryGrowth::Unavoidable, at(10));
    assert!(!change.fits);
    assert_eq!(change.closed, ids[..3]);
}

#[test]
fn ended_connections_free_their_memory() {
    let (mut table, ids) = full_table(|_| ConnectionWait::Server);
    table.set_bytes(ids[0], 5 * IDLE_BYTES, MemoryGrowth::Refusable, at(4));
    assert_eq!(table.counts().bytes, 8 * IDLE_BYTES as u64);
    for id in ids {
        table.end(id);
        table.end(id);
    }
    assert_eq!(table.counts().bytes, 0);
}

/// Guards against limits that a process with few descriptors cannot hold on all listeners together.
#[test]
fn limits_follow_descriptors() {
    for descriptors in [64, 256, 4_100, 100_000] {
        let control = ConnectionLimits::control(Some(descriptors)).connections as u64;
        let unauthenticated =
            ConnectionLimits::unauthenticated(Some(descriptors)).connections as u64;
        assert!(2 * control + unauthenticated <= descriptors / 4);
    }
}

/// Guards against a client that sends its requests ahead, so that its connection is never idle, and keeps
/// others out; and against connections that are closed when nobody was refused.
#[test]
fn one_makes_way_for_each_refusal() {
    let (mut table, ids) = full_table(|_| ConnectionWait::Server);
    assert!(!table.make_way(ids[0], at(10)));
    assert!(accept(&mut table, 20).is_refused);
    assert!(table.make_way(ids[0], at(2_000)));
    assert!(!table.make_way(ids[1], at(2_000)));
    assert_eq!(table.counts().closed, 1);
}

/// Guards against connections that are closed for clients refused long ago.
#[test]
fn none_makes_way_late() {
    let (mut table, ids) = full_table(|_| ConnectionWait::Server);
    assert!(accept(&mut table, 20).is_refused);
    assert!(!table.make_way(ids[0], at(5_000)));
    assert!(!table.make_way(ids[0], at(100)));
}
