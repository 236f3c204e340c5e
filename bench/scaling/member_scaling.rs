//! A fleet of members that gossip with each other in virtual time.

use std::time::Duration;

use wagtailtrack::wire::{HealthState, InstancePhase, InstanceRecord};

use crate::slopes::gossip_net::{GossipNet, instance, member};
use crate::slopes::slope_figure::{SlopeFigure, resident_bytes};

const REGIONS: usize = 5;
const WARM_UP: Duration = Duration::from_secs(120);
/// Medians far enough apart to be worth telling.
const MEDIANS: [u32; 2] = [60_000, 25_000];
const SPAN: Duration = Duration::from_secs(30);
const CHANGES: usize = 100;
const CHANGE_GAP: Duration = Duration::from_millis(200);
const REST: Duration = Duration::from_secs(10);
const LONGEST: Duration = Duration::from_secs(60);

/// `size` members, idle and then with five changes a second.
pub fn measure(size: usize) -> Vec<SlopeFigure> {
    let before = resident_bytes();
    let mut net = GossipNet::open(size, REGIONS, 1);
    for index in 0..size {
        let record = own_record(index);
        net.publish(index, &record);
    }
    net.run(WARM_UP);
    let bytes = resident_bytes() - before;
    let idle = spent(&mut net, |net| net.run(SPAN));
    let busy = spent(&mut net, |net| {
        for change in 0..CHANGES {
            let index = change % net.nodes.len();
            let mut record = own_record(index);
            record.median_micros = MEDIANS[change / net.nodes.len() % MEDIANS.len()];
            net.publish(index, &record);
            net.run(CHANGE_GAP);
        }
    });
    let seconds = CHANGE_GAP.as_secs_f64() * CHANGES as f64;
    let per_node = 1.0 / size as f64;
    let idle_rate = idle.0 * per_node / SPAN.as_secs_f64();
    let change_bytes = busy.0 * per_node - idle_rate * seconds;
    let ejection = spread(&mut net, |record| record.health = HealthState::Ejected);
    let drain = spread(&mut net, |record| record.phase = InstancePhase::Draining);
    vec![
        SlopeFigure::new("bytes a second idle", idle_rate),
        SlopeFigure::new("bytes a change", change_bytes / CHANGES as f64),
        SlopeFigure::new(
            "% of a core idle",
            idle.1 * per_node / SPAN.as_secs_f64() * 100.0,
        ),
        SlopeFigure::new(
            "% of a core at 5 changes a second",
            busy.1 * per_node / seconds * 100.0,
        ),
        SlopeFigure::new("s until the region sees an ejection", ejection),
        SlopeFigure::new("s until the region sees a drain", drain),
        SlopeFigure::new("KiB a member", bytes * per_node / 1024.0),
    ]
}

/// Bytes sent by all and seconds of processor time while `work` runs.
fn spent(net: &mut GossipNet, work: impl FnOnce(&mut GossipNet)) -> (f64, f64) {
    let (bytes, cpu) = (sent(net), processor_secs());
    work(net);
    (sent(net) - bytes, processor_secs() - cpu)
}

fn sent(net: &GossipNet) -> f64 {
    let nodes = net.nodes.iter();
    nodes
        .map(|node| (node.udp_bytes + node.pull_bytes) as f64)
        .sum()
}

/// Seconds of processor time of this process, to the nanosecond.
fn processor_secs() -> f64 {
    let text = std::fs::read_to_string("/proc/self/schedstat").unwrap_or_default();
    let nanos: Option<f64> = text.split(' ').next().and_then(|nanos| nanos.parse().ok());
    nanos.map_or(f64::NAN, |nanos| nanos / 1e9)
}

/// The record of the instance beside the member `index`.
fn own_record(index: usize) -> InstanceRecord {
    let mut record = instance(index, 0, InstancePhase::Ready);
    record.region = member(index, 1, REGIONS).region;
    record
}

/// Time until every member of its region knows a change of the instance beside member 1.
fn spread(net: &mut GossipNet, change: impl FnOnce(&mut InstanceRecord)) -> f64 {
    net.run(REST);
    let mut record = own_record(1);
    change(&mut record);
    net.publish(1, &record);
    let service = record.service.clone();
    let time = net.run_until(LONGEST, |net| {
        let now = net.now;
        let mut near = net.nodes.iter_mut();
        near.all(|node| {
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
