//! How soon a sick instance is out at half load, in a model with virtual time.
//!
//! Times run from the fault until the ejection has reached every daemon.

mod models;

use std::time::Duration;

use models::{InstanceFault, ModelPolicy, ServiceModel};

const SEEDS: [u64; 3] = [1, 2, 3];
/// Instances and slots of Skupna Zapora's permit desk and Indexwerk's index desk.
const SHAPES: [(usize, u32); 2] = [(17, 3), (18, 5)];
const SICK: usize = 4;
const FAULT_MILLIS: u64 = 13_000;
const MEDIAN_LIMIT: Duration = Duration::from_secs(2);
/// The same for an instance that is slow only now and then.
const PARTLY_LIMIT: Duration = Duration::from_millis(2_500);
const WORST_LIMIT: Duration = Duration::from_secs(5);

fn run(seed: u64, shape: (usize, u32), fault: InstanceFault, policy: ModelPolicy) -> ServiceModel {
    let (count, slots) = shape;
    let mut model = ServiceModel::open(seed, count, slots, policy);
    model.add_lookups(0.5);
    model.inject_fault(SICK, fault, FAULT_MILLIS);
    model.run(FAULT_MILLIS + 5_500);
    model
}

/// Checks the median against `limit` and the worst against 5 s.
fn detects(fault: InstanceFault, limit: Duration) {
    let mut times = Vec::new();
    for shape in SHAPES {
        for seed in SEEDS {
            let model = run(seed, shape, fault, ModelPolicy::FLEET);
            let others = model.ejections.iter();
            let others = others.filter(|ejection| ejection.instance != SICK);
            assert_eq!(others.count(), 0, "seed {seed}: {:?}", model.ejections);
            let time = model.detection(SICK, FAULT_MILLIS);
            times.push(time.unwrap_or_else(|| panic!("seed {seed}: not detected")));
        }
    }
    times.sort_unstable();
    let (median, worst) = (times[times.len() / 2], times[times.len() - 1]);
    let plain = run(SEEDS[0], SHAPES[0], fault, ModelPolicy::BASELINE);
    let plain = plain.detection(SICK, FAULT_MILLIS);
    println!("{fault:?}: median {median:?}, worst {worst:?}; five in a row {plain:?}");
    assert!(median <= limit && worst <= WORST_LIMIT, "{times:?}");
}

#[test]
fn slow() {
    detects(InstanceFault::Slow(10.0), MEDIAN_LIMIT);
}

#[test]
fn wrong() {
    detects(InstanceFault::Wrong(1.0), MEDIAN_LIMIT);
}

#[test]
fn failing() {
    detects(InstanceFault::Failing(0.3), MEDIAN_LIMIT);
}

#[test]
fn frozen() {
    detects(InstanceFault::Frozen, MEDIAN_LIMIT);
}

#[test]
fn flapping_slow() {
    detects(InstanceFault::FlappingSlow(10.0, 1_000), MEDIAN_LIMIT);
}

#[test]
fn flapping_slow_long() {
    detects(InstanceFault::FlappingSlow(10.0, 3_000), MEDIAN_LIMIT);
}

#[test]
fn flapping_failing() {
    detects(InstanceFault::FlappingFailing(500), MEDIAN_LIMIT);
}

#[test]
fn partly_slow() {
    detects(InstanceFault::PartlySlow(0.3, 10.0), PARTLY_LIMIT);
}

#[test]
fn partly_hanging() {
    detects(InstanceFault::PartlySlow(0.3, 1_000.0), PARTLY_LIMIT);
}
