//! Time to detect a faulty instance at half load, simulated in virtual time.
//!
//! Guards against faults that stay undetected or are detected too late. Times run from the start of
//! the fault until every daemon knows of the ejection.

mod models;

use std::time::Duration;

use models::{InstanceFault, ModelPolicy, ServiceModel};

const SEEDS: [u64; 3] = [1, 2, 3];
/// Instances of a service and slots of each, for two deployments: the permit desk of Skupna Zapora
/// and the index desk of Indexwerk.
const SHAPES: [(usize, u32); 2] = [(17, 3), (18, 5)];
const FAULTY: usize = 4;
const FAULT_MILLIS: u64 = 13_000;
/// Longest median time to detect a fault.
const MEDIAN_LIMIT: Duration = Duration::from_secs(2);
/// The same for an instance that is slow for a part of its requests.
const PARTLY_LIMIT: Duration = Duration::from_millis(2_500);
/// Longest time to detect a fault in any run.
const WORST_LIMIT: Duration = Duration::from_secs(5);

fn run(seed: u64, shape: (usize, u32), fault: InstanceFault, policy: ModelPolicy) -> ServiceModel {
    let (count, slots) = shape;
    let mut model = ServiceModel::open(seed, count, slots, policy);
    model.add_lookups(0.5);
    model.inject_fault(FAULTY, fault, FAULT_MILLIS);
    model.run(FAULT_MILLIS + 5_500);
    model
}

/// Checks that only the faulty instance is ejected, the median time to detect it against `limit` and
/// the longest against `WORST_LIMIT`.
fn check_detection(fault: InstanceFault, limit: Duration) {
    let mut times = Vec::new();
    for shape in SHAPES {
        for seed in SEEDS {
            let model = run(seed, shape, fault, ModelPolicy::FLEET);
            let others = model.ejections.iter();
            let others = others.filter(|ejection| ejection.instance != FAULTY);
            assert_eq!(others.count(), 0, "seed {seed}: {:?}", model.ejections);
            let time = model.detection(FAULTY, FAULT_MILLIS);
            times.push(time.unwrap_or_else(|| panic!("seed {seed}: not detected")));
        }
    }
    times.sort_unstable();
    let (median, worst) = (times[times.len() / 2], times[times.len() - 1]);
    let baseline = run(SEEDS[0], SHAPES[0], fault, ModelPolicy::BASELINE);
    let baseline = baseline.detection(FAULTY, FAULT_MILLIS);
    println!("{fault:?}: median {median:?}, worst {worst:?}; baseline {baseline:?}");
    assert!(median <= limit && worst <= WORST_LIMIT, "{times:?}");
}

#[test]
fn slow() {
    check_detection(InstanceFault::Slow(10.0), MEDIAN_LIMIT);
}

#[test]
fn wrong() {
    check_detection(InstanceFault::Wrong(1.0), MEDIAN_LIMIT);
}

#[test]
fn failing() {
    check_detection(InstanceFault::Failing(0.3), MEDIAN_LIMIT);
}

#[test]
fn frozen() {
    check_detection(InstanceFault::Frozen, MEDIAN_LIMIT);
}

#[test]
fn flapping_slow() {
    check_detection(InstanceFault::FlappingSlow(10.0, 1_000), MEDIAN_LIMIT);
}

#[test]
fn flapping_slow_long() {
    check_detection(InstanceFault::FlappingSlow(10.0, 3_000), MEDIAN_LIMIT);
}

#[test]
fn flapping_failing() {
    check_detection(InstanceFault::FlappingFailing(500), MEDIAN_LIMIT);
}

#[test]
fn partly_slow() {
    check_detection(InstanceFault::PartlySlow(0.3, 10.0), PARTLY_LIMIT);
}

#[test]
fn partly_hanging() {
    check_detection(InstanceFault::PartlySlow(0.3, 1_000.0), PARTLY_LIMIT);
}
