//! Measures the membership gossip at several sizes, in virtual time.
//!
//! Run with `cargo run --release --example gossip_slopes`.

#[path = "../tests/gossip_net/mod.rs"]
mod gossip_net;

use std::time::{Duration, Instant};

use gossip_net::{GossipNet, instance};
use wagtailtrack::members::{FleetView, RecordTable};
use wagtailtrack::time::MonoTime;
use wagtailtrack::units::Slots;
use wagtailtrack::wire::{self, InstancePhase, OwnerState};

const SIZES: [usize; 4] = [10, 30, 100, 300];
const REGIONS: usize = 5;
const INSTANCES: usize = 15;
const SETTLE: Duration = Duration::from_secs(240);
const SPAN: Duration = Duration::from_secs(60);
const DRAINS: usize = 15;
const CHANGES_PER_SECOND: usize = 5;
const MEMBER_COUNTS: [usize; 4] = [100, 300, 1_000, 4_100];
const STEPS: u32 = 1_000;
const RECORD_COUNTS: [usize; 4] = [100, 1_000, 10_000, 62_000];

/// Bytes sent by one daemon in one second, in the mean, and processor time of one.
struct Load {
    bytes: f64,
    pulled: f64,
    micros: f64,
}

fn main() {
    print_sizes();
    print_members();
    print_records();
    print_spread();
}

fn print_sizes() {
    let record = instance(1234, 7, InstancePhase::Ready);
    let member = gossip_net::member(1234, 1, REGIONS);
    let owner = OwnerState {
        member: member.clone(),
        instances: vec![record.clone(); INSTANCES],
    };
    println!(
        "instance record   {} B",
        wire::encode(&record).unwrap().len()
    );
    println!(
        "member record     {} B",
        wire::encode(&member).unwrap().len()
    );
    println!(
        "owner in a pull   {} B",
        wire::encode(&owner).unwrap().len()
    );
}

fn print_records() {
    println!("records    resident B each    merge us each");
    for count in RECORD_COUNTS {
        let records: Vec<_> = (0..count).map(record_at).collect();
        let bytes: Vec<_> = records
            .iter()
            .map(|one| wire::encode(one).unwrap())
            .collect();
        drop(records);
        let before = resident_bytes();
        let start = Instant::now();
        let mut table = RecordTable::default();
        for one in &bytes {
            let record = wire::decode(one).unwrap();
            table.merge(&record, MonoTime::ZERO);
        }
        let micros = start.elapsed().as_secs_f64() * 1e6;
        let grown = resident_bytes().saturating_sub(before) as f64;
        let each = count as f64;
        println!("{count:>7} {:>18.0} {:>16.2}", grown / each, micros / each);
        std::mem::forget(table);
    }
}

/// What the table of members costs, and the scans of each step.
fn print_members() {
    println!("members    resident B each    digest us    expiry us");
    for count in MEMBER_COUNTS {
        let records: Vec<_> = (0..count)
            .map(|at| wire::encode(&gossip_net::member(at, 1, REGIONS)).unwrap())
            .collect();
        let before = resident_bytes();
        let mut view = FleetView::open(gossip_net::member(count, 1, REGIONS));
        for record in &records {
            view.merge_member(&wire::decode(record).unwrap(), 0, MonoTime::ZERO);
        }
        let grown = resident_bytes().saturating_sub(before) as f64 / count as f64;
        let mut rng = fastrand::Rng::with_seed(1);
        let digest = micros_each(|| _ = view.random_bucket_digest(true, &mut rng));
        let expiry = micros_each(|| {
            _ = view
                .members()
                .expired_suspicions(Duration::ZERO, MonoTime::ZERO)
        });
        println!("{count:>7} {grown:>18.0} {digest:>12.2} {expiry:>12.2}");
        std::mem::forget(view);
    }
}

fn micros_each(mut step: impl FnMut()) -> f64 {
    let start = Instant::now();
    (0..STEPS).for_each(|_| step());
    start.elapsed().as_secs_f64() * 1e6 / f64::from(STEPS)
}

fn record_at(at: usize) -> wagtailtrack::wire::InstanceRecord {
    let mut record = instance(at / INSTANCES, at % INSTANCES, InstancePhase::Ready);
    record.incarnation.0 = 1_790_000_000_000 + at as u64;
    record
}

fn resident_bytes() -> u64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split(' ').nth(1).and_then(|word| word.parse().ok());
    pages.unwrap_or(0) * 4096
}

fn print_spread() {
    println!(
        "members  idle B/s  idle us/s  change B  change us  pulled B/s  drain ms p50/max  death s"
    );
    for size in SIZES {
        let mut net = GossipNet::open(size, REGIONS, 1);
        net.run(Duration::from_secs(20));
        for index in 0..size {
            for number in 0..INSTANCES {
                net.publish(index, &instance(index, number, InstancePhase::Ready));
            }
        }
        net.run(SETTLE);
        assert!(net.all_count(size));
        let idle = measure(&mut net, 0);
        let busy = measure(&mut net, CHANGES_PER_SECOND);
        let changes = CHANGES_PER_SECOND as f64;
        let mut drains: Vec<_> = (0..DRAINS).map(|at| drain_millis(&mut net, at)).collect();
        drains.sort_unstable();
        let (median, worst) = (drains[DRAINS / 2], drains[DRAINS - 1]);
        net.nodes[size - 1].is_down = true;
        let death = net.run_until(Duration::from_secs(120), |net| net.all_count(size - 1));
        println!(
            "{size:>7} {:>9.0} {:>10.0} {:>9.0} {:>10.1} {:>11.1} {median:>6}/{worst:<6} {:>8.1}",
            idle.bytes,
            idle.micros,
            (busy.bytes - idle.bytes) / changes,
            (busy.micros - idle.micros) / changes,
            busy.pulled,
            death.as_secs_f64(),
        );
    }
}

/// Runs for a while with `changes` of instance records a second.
fn measure(net: &mut GossipNet, changes: usize) -> Load {
    let size = net.nodes.len();
    let before = sent(net);
    let start = Instant::now();
    for second in 0..SPAN.as_secs() as usize {
        for change in 0..changes {
            let index = net.rng.usize(0..size);
            let mut record = instance(index, change, InstancePhase::Ready);
            record.slots = Slots::new(4 + second as u32).unwrap();
            net.publish(index, &record);
        }
        net.run(Duration::from_secs(1));
    }
    let micros = start.elapsed().as_secs_f64() * 1e6;
    let after = sent(net);
    let scale = size as f64 * SPAN.as_secs_f64();
    Load {
        bytes: (after.0 - before.0) as f64 / scale,
        pulled: (after.1 - before.1) as f64 / scale,
        micros: micros / scale,
    }
}

fn sent(net: &GossipNet) -> (u64, u64) {
    let udp = net.nodes.iter().map(|node| node.udp_bytes).sum();
    let pulls = net.nodes.iter().map(|node| node.pull_bytes).sum();
    (udp, pulls)
}

/// Until every daemon of the region sees a drain.
fn drain_millis(net: &mut GossipNet, number: usize) -> u128 {
    let record = instance(3, number, InstancePhase::Draining);
    net.publish(3, &record);
    let seen = |net: &mut GossipNet| {
        let now = net.now;
        let near = net.nodes.iter_mut().skip(3).step_by(REGIONS);
        near.into_iter().all(|node| {
            let records = node.core.instances_of(&record.service, now);
            let found = records.iter().find(|one| one.instance == record.instance);
            found.is_some_and(|found| found.phase == InstancePhase::Draining)
        })
    };
    net.run_until(Duration::from_secs(120), seen).as_millis()
}
