//! Fairness among client accounts and request classes, in a model of a service in virtual time.

mod models;

use std::time::Duration;

use models::{InstanceFault, LoadStream, ModelPolicy, ServiceModel};
use wagtailtrack::resource::RequestClass;

/// Seeds of the model; a test's result is the worst of them.
const SEEDS: [u64; 2] = [21, 22];
/// End of each run, in virtual milliseconds.
const END_MILLIS: u64 = 19_000;
/// When the faults begin, in virtual milliseconds.
const FAULT_MILLIS: u64 = 13_000;
/// Mean service time of an extract as a multiple of that of a lookup.
const EXTRACT_FACTOR: f64 = 8.0;
const FAULTS: [InstanceFault; 4] = [
    InstanceFault::Slow(10.0),
    InstanceFault::Failing(0.3),
    InstanceFault::Frozen,
    InstanceFault::Wrong(1.0),
];

/// Runs the model with two large and six small accounts that together need 60% of the slots,
/// except that the first account sends `flood` times its part. The first `faulty` entries of
/// `FAULTS` apply to one instance each.
fn run_model(seed: u64, flood: f64, faulty: usize, policy: ModelPolicy) -> ServiceModel {
    let mut model = ServiceModel::open(seed, 17, 3, policy);
    let total = 0.6 * model.capacity();
    for account in 0..8 {
        let part = if account < 2 { 0.2 } else { 0.1 };
        let factor = if account == 0 { flood } else { 1.0 };
        let name = format!("a{account}");
        let rate = total * part * factor;
        model.add_stream(LoadStream::open(&name, RequestClass::Lookup, rate, 500));
    }
    for (place, fault) in FAULTS.into_iter().take(faulty).enumerate() {
        model.inject_fault(place * 4, fault, FAULT_MILLIS);
    }
    model.run(END_MILLIS);
    model
}

/// The lowest share of requests completed in time of any account but the first, over all seeds.
fn worst_share(flood: f64, faulty: usize, policy: ModelPolicy) -> f64 {
    let share_with = |seed: u64| {
        let model = run_model(seed, flood, faulty, policy);
        let shares = model.streams[1..].iter().map(LoadStream::completed_share);
        shares.fold(1.0, f64::min)
    };
    SEEDS.into_iter().map(share_with).fold(1.0, f64::min)
}

/// Asserts that the worst account completes at least `min_share` of its requests in time, and prints
/// the same for the plain policy.
fn check_worst_share(flood: f64, faulty: usize, min_share: f64) {
    let ours = worst_share(flood, faulty, ModelPolicy::FLEET);
    let plain = worst_share(flood, faulty, ModelPolicy::BASELINE);
    println!("flood {flood}, faulty {faulty}: worst account {ours:.4}, plain {plain:.4}");
    assert!(
        ours >= min_share,
        "worst account {ours}, minimum {min_share}"
    );
}

/// One account that sends five times its rate must not slow down the others.
#[test]
fn flooding_account() {
    check_worst_share(5.0, 0, 0.99);
}

/// Faults of four instances must not fall on a few accounts alone.
#[test]
fn faulty_instances() {
    check_worst_share(1.0, 4, 0.95);
}

/// A flooding account must not use up the capacity that faults have reduced.
#[test]
fn flooding_account_and_faulty_instances() {
    check_worst_share(5.0, 4, 0.95);
}

/// The 99th percentile of the latency of internal checks while lookups need `lookups` times the
/// capacity.
fn check_latency(lookups: f64, policy: ModelPolicy) -> Duration {
    let mut model = ServiceModel::open(5, 17, 3, policy);
    let capacity = model.capacity();
    let class = RequestClass::InternalCheck;
    model.add_stream(LoadStream::open("desk", class, 0.15 * capacity, 1_000));
    if lookups > 0.0 {
        let rate = lookups * capacity;
        model.add_stream(LoadStream::open("a1", RequestClass::Lookup, rate, 500));
    }
    model.run(END_MILLIS);
    model.streams[0].quantile(0.99)
}

/// Lookups at and above the capacity must not keep internal checks waiting: their latency may at most
/// double.
#[test]
fn checks_beside_lookups() {
    let idle = check_latency(0.0, ModelPolicy::FLEET);
    for lookups in [1.0, 2.0] {
        let ours = check_latency(lookups, ModelPolicy::FLEET);
        let plain = check_latency(lookups, ModelPolicy::BASELINE);
        println!("checks beside {lookups} of lookups: {ours:?}, idle {idle:?}, plain {plain:?}");
        assert!(ours <= idle * 2, "{ours:?} against {idle:?} idle");
    }
}

/// Prints the latency of internal checks beside extracts, which are long and may take every slot
/// but the one reserved for checks.
#[test]
fn checks_beside_extracts() {
    let check_latency = |extracts: f64| {
        let mut model = ServiceModel::open(6, 8, 3, ModelPolicy::FLEET);
        let capacity = model.capacity();
        let class = RequestClass::InternalCheck;
        model.add_stream(LoadStream::open("desk", class, 0.15 * capacity, 1_000));
        if extracts > 0.0 {
            let rate = extracts * capacity / EXTRACT_FACTOR;
            let class = RequestClass::Extract;
            model.add_stream(LoadStream::open("office", class, rate, 2_000));
        }
        model.run(END_MILLIS);
        let extracts = model.streams.get(1).map(LoadStream::completed_share);
        (model.streams[0].quantile(0.99), extracts)
    };
    let (idle, _) = check_latency(0.0);
    for load in [0.4, 1.5] {
        let (busy, extracts) = check_latency(load);
        println!(
            "checks beside {load} of extracts: {busy:?}, idle {idle:?}, extracts {extracts:?}"
        );
    }
}
