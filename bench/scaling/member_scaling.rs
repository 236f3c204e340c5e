//! Scaling benchmark of gossip between the members of a fleet, in virtual time.

use std::time::Duration;

use wagtailtrack::wire::{HealthState, InstancePhase, InstanceRecord};

use crate::scaling::gossip_net::{GossipNet, instance, member};
use crate::scaling::scaling_figure::{ScalingFigure, resident_bytes};

const REGIONS: usize = 5;
const WARM_UP: Duration = Duration::from_secs(120);
/// Median latencies, in microseconds, far enough apart that each change is published.
const MEDIANS: [u32; 2] = [60_000, 25_000];
const IDLE_PERIOD: Duration = Duration::from_secs(30);
const CHANGES: usize = 100;
const CHANGE_INTERVAL: Duration = Duration::from_millis(200);
const SETTLE_TIME: Duration = Duration::from_secs(10);
const PROPAGATION_TIMEOUT: Duration = Duration::from_secs(60);

/// Measures the gossip of `size` members, idle and then with five changes per second.
pub fn measure(size: usize) -> Vec<ScalingFigure> {
    let before = resident_bytes();
    let mut net = GossipNet::open(size, REGIONS, 1);
    for index in 0..size {
        let record = own_record(index);
        net.publish(index, &record);
    }
    net.run(WARM_UP);
    let bytes = resident_bytes() - before;
    let idle = measure_usage(&mut net, |net| net.run(IDLE_PERIOD));
    let busy = measure_usage(&mut net, |net| {
        for change in 0..CHANGES {
            let index = change % net.nodes.len();
            let mut record = own_record(index);
            record.median_micros = MEDIANS[change / net.nodes.len() % MEDIANS.len()];
            net.publish(index, &record);
            net.run(CHANGE_INTERVAL);
        }
    });
    let seconds = CHANGE_INTERVAL.as_secs_f64() * CHANGES as f64;
    let per_node = 1.0 / size as f64;
    let idle_rate = idle.0 * per_node / IDLE_PERIOD.as_secs_f64();
    let change_bytes = busy.0 * per_node - idle_rate * seconds;
    let ejection = propagation_secs(&mut net, |record| record.health = HealthState::Ejected);
    let drain = propagation_secs(&mut net, |record| record.phase = InstancePhase::Draining);
    vec![
        ScalingFigure::new("bytes a second idle", idle_rate),
        ScalingFigure::new("bytes a change", change_bytes / CHANGES as f64),
        ScalingFigure::new(
            "% of a core idle",
            idle.1 * per_node / IDLE_PERIOD.as_secs_f64() * 100.0,
        ),
        ScalingFigure::new(
            "% of a core at 5 changes a second",
            busy.1 * per_node / seconds * 100.0,
        ),
        ScalingFigure::new("s until the region sees an ejection", ejection),
        ScalingFigure::new("s until the region sees a drain", drain),
        ScalingFigure::new("KiB a member", bytes * per_node / 1024.0),
    ]
}

/// Bytes sent by all members and seconds of processor time during `work`.
fn measure_usage(net: &mut GossipNet, work: impl FnOnce(&mut GossipNet)) -> (f64, f64) {
    let (bytes, cpu) = (bytes_sent(net), processor_secs());
    work(net);
    (bytes_sent(net) - bytes, processor_secs() - cpu)
}

fn bytes_sent(net: &GossipNet) -> f64 {
    let nodes = net.nodes.iter();
    nodes
        .map(|node| (node.udp_bytes + node.pull_bytes) as f64)
        .sum()
}

/// Processor time of this process, in seconds with nanosecond resolution; NaN if it cannot be read.
fn processor_secs() -> f64 {
    let text = std::fs::read_to_string("/proc/self/schedstat").unwrap_or_default();
    let nanos: Option<f64> = text.split(' ').next().and_then(|nanos| nanos.parse().ok());
    nanos.map_or(f64::NAN, |nanos| nanos / 1e9)
}

/// The record of the instance of the member `index`.
fn own_record(index: usize) -> InstanceRecord {
    let mut record = instance(index, 0, InstancePhase::Ready);
    record.region = member(index, 1, REGIONS).region;
    record
}

/// Seconds of virtual time until every member in the region of member 1 sees a change of its
/// instance.
fn propagation_secs(net: &mut GossipNet, change: impl FnOnce(&mut InstanceRecord)) -> f64 {
    net.run(SETTLE_TIME);
    let mut record = own_record(1);
    change(&mut record);
    net.publish(1, &record);
    let service = record.service.clone();
    let time = net.run_until(PROPAGATION_TIMEOUT, |net| {
        let now = net.now;
        let mut nodes = net.nodes.iter_mut();
        nodes.all(|node| {
            if node.core.view().own().region != record.region {
                return true;
            }
            let records = node.core.instances_of(&service, now);
            let same = |seen: &&InstanceRecord| seen.instance == record.instance;
            let seen = records.iter().find(same);
            seen.is_some_and(|seen| seen.health == record.health && seen.phase == record.phase)
        })
    });
    time.as_secs_f64()
}
