//! A fleet of members that gossip with each other in virtual time.

use std::time::Duration;

use wagtailtrack::wire::{HealthState, InstancePhase};

use crate::process_usage::ProcessUsage;
use crate::slopes::gossip_net::{GossipNet, instance};
use crate::slopes::slope_figure::{SlopeFigure, resident_bytes};

const REGIONS: usize = 5;
const WARM_UP: Duration = Duration::from_secs(30);
const SPAN: Duration = Duration::from_secs(30);
const CHANGES: usize = 100;
const CHANGE_GAP: Duration = Duration::from_millis(200);
const LONGEST: Duration = Duration::from_secs(60);

/// `size` members, idle and then with five changes a second.
pub fn measure(size: usize) -> Vec<SlopeFigure> {
    let before = resident_bytes();
    let mut net = GossipNet::open(size, REGIONS, 1);
    for index in 0..size {
        let record = instance(index, 0, InstancePhase::Ready);
        net.publish(index, &record);
    }
    net.run(WARM_UP);
    let bytes = resident_bytes() - before;
    let idle = spent(&mut net, |net| net.run(SPAN));
    let busy = spent(&mut net, |net| {
        for change in 0..CHANGES {
            let index = change % net.nodes.len();
            let mut record = instance(index, 0, InstancePhase::Ready);
            record.median_micros = 30_000 + change as u32;
            net.publish(index, &record);
            net.run(CHANGE_GAP);
        }
    });
    let seconds = CHANGE_GAP.as_secs_f64() * CHANGES as f64;
    let per_node = 1.0 / size as f64;
    let idle_rate = idle.0 * per_node / SPAN.as_secs_f64();
    let change_bytes = busy.0 * per_node - idle_rate * seconds;
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
        SlopeFigure::new("s until all see a change", spread(&mut net).as_secs_f64()),
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

fn processor_secs() -> f64 {
    let usage = ProcessUsage::read(std::process::id());
    usage.map_or(f64::NAN, |usage| usage.cpu.as_secs_f64())
}

fn spread(net: &mut GossipNet) -> Duration {
    let mut record = instance(1, 0, InstancePhase::Ready);
    record.health = HealthState::Ejected;
    net.publish(1, &record);
    let service = record.service.clone();
    net.run_until(LONGEST, |net| {
        net.nodes.iter_mut().all(|node| {
            let records = node.core.instances_of(&service);
            records.iter().any(|seen| seen.health == record.health)
        })
    })
}
