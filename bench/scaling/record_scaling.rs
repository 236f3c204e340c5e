//! Scaling benchmark of the table of instance records.

use std::hint::black_box;

use wagtailtrack::ids::Incarnation;
use wagtailtrack::members::RecordTable;
use wagtailtrack::time::MonoTime;
use wagtailtrack::wire::{InstancePhase, InstanceRecord, encode};

use crate::scaling::gossip_net::instance;
use crate::scaling::scaling_figure::{ScalingFigure, micros_each, resident_bytes};

const INSTANCES_PER_DAEMON: usize = 15;
const LOOKUPS: usize = 1_000;

/// Measures the memory of a table of `size` records, and the times to merge a record and list a
/// service.
pub fn measure(size: usize) -> Vec<ScalingFigure> {
    let now = MonoTime::from_millis(1);
    let before = resident_bytes();
    let mut table = RecordTable::default();
    let merge = micros_each(size, |index| {
        table.merge(&record(index, 1), now);
    });
    let bytes = resident_bytes() - before;
    let change = micros_each(size, |index| {
        table.merge(&record(index, 2), now);
    });
    let make = micros_each(size, |index| {
        black_box(record(index, 2));
    });
    let service = record(0, 1).service;
    let list = micros_each(LOOKUPS, |_| {
        black_box(table.of_service(&service).len());
    });
    let wire = encode(&record(0, 1)).map_or(0, |bytes| bytes.len());
    vec![
        ScalingFigure::new("bytes a record", bytes / size as f64),
        ScalingFigure::new("MiB in all", bytes / (1024.0 * 1024.0)),
        ScalingFigure::new("us a new record", merge - make),
        ScalingFigure::new("us a changed record", change - make),
        ScalingFigure::new("us to list a service of 45", list),
        ScalingFigure::new("bytes on the wire", wire as f64),
    ]
}

fn record(index: usize, incarnation: u64) -> InstanceRecord {
    let (daemon, number) = (index / INSTANCES_PER_DAEMON, index % INSTANCES_PER_DAEMON);
    let mut record = instance(daemon, number, InstancePhase::Ready);
    record.incarnation = Incarnation(incarnation);
    record
}
