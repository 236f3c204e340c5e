//! How accounts and classes fare in a service, in a model with virtual time.

mod models;

use std::time::Duration;

use models::{InstanceFault, LoadStream, ModelPolicy, ServiceModel};
use wagtailtrack::resource::RequestClass;

const SEEDS: [u64; 2] = [21, 22];
const END_MILLIS: u64 = 19_000;
const FAULT_MILLIS: u64 = 13_000;
/// Service time of an extract against that of a lookup.
const EXTRACT_FACTOR: f64 = 8.0;
const FAULTS: [InstanceFault; 4] = [
    InstanceFault::Slow(10.0),
    InstanceFault::Failing(0.3),
    InstanceFault::Frozen,
    InstanceFault::Wrong(1.0),
];

/// Two large and six small accounts that ask for 60% of the slots together; the first one
/// sends `flood` times that. The first `sick` faults strike one instance each.
fn desk(seed: u64, flood: f64, sick: usize, policy: ModelPolicy) -> ServiceModel {
    let mut model = ServiceModel::open(seed, 17, 3, policy);
    let total = 0.6 * model.capacity();
    for account in 0..8 {
        let part = if account < 2 { 0.2 } else { 0.1 };
        let factor = if account == 0 { flood } else { 1.0 };
        let name = format!("a{account}");
        let rate = total * part * factor;
        model.load(LoadStream::open(&name, RequestClass::Lookup, rate, 500));
    }
    for (place, fault) in FAULTS.into_iter().take(sick).enumerate() {
        model.strike(place * 4, fault, FAULT_MILLIS);
    }
    model.run(END_MILLIS);
    model
}

/// The lowest share of requests completed in time among the accounts within their rate.
fn worst(flood: f64, sick: usize, policy: ModelPolicy) -> f64 {
    let worst_of = |seed: u64| {
        let model = desk(seed, flood, sick, policy);
        let shares = model.streams[1..].iter().map(LoadStream::completed_share);
        shares.fold(1.0, f64::min)
    };
    SEEDS.into_iter().map(worst_of).fold(1.0, f64::min)
}

fn fares(flood: f64, sick: usize, aim: f64) {
    let ours = worst(flood, sick, ModelPolicy::OURS);
    let plain = worst(flood, sick, ModelPolicy::PLAIN);
    println!("flood {flood}, sick {sick}: worst account {ours:.4}, plain {plain:.4}");
    assert!(ours >= aim, "{ours}");
}

#[test]
fn flooding_account() {
    fares(5.0, 0, 0.99);
}

#[test]
fn sick_instances() {
    fares(1.0, 4, 0.95);
}

#[test]
fn flood_and_sickness() {
    fares(5.0, 4, 0.95);
}

/// The time in which 99 of 100 internal checks are answered beside so many lookups.
fn check_time(lookups: f64, policy: ModelPolicy) -> Duration {
    let mut model = ServiceModel::open(5, 17, 3, policy);
    let capacity = model.capacity();
    let class = RequestClass::InternalCheck;
    model.load(LoadStream::open("desk", class, 0.15 * capacity, 1_000));
    if lookups > 0.0 {
        let rate = lookups * capacity;
        model.load(LoadStream::open("a1", RequestClass::Lookup, rate, 500));
    }
    model.run(END_MILLIS);
    model.streams[0].quantile(0.99)
}

#[test]
fn checks_beside_lookups() {
    let idle = check_time(0.0, ModelPolicy::OURS);
    for lookups in [1.0, 2.0] {
        let ours = check_time(lookups, ModelPolicy::OURS);
        let plain = check_time(lookups, ModelPolicy::PLAIN);
        println!("checks beside {lookups} of lookups: {ours:?}, idle {idle:?}, plain {plain:?}");
        assert!(ours <= idle * 2, "{ours:?} against {idle:?} idle");
    }
}

/// Long extracts fill the slots, but for one while checks come.
#[test]
fn checks_beside_extracts() {
    let time = |extracts: f64| {
        let mut model = ServiceModel::open(6, 8, 3, ModelPolicy::OURS);
        let capacity = model.capacity();
        let class = RequestClass::InternalCheck;
        model.load(LoadStream::open("desk", class, 0.15 * capacity, 1_000));
        if extracts > 0.0 {
            let rate = extracts * capacity / EXTRACT_FACTOR;
            let class = RequestClass::Extract;
            model.load(LoadStream::open("office", class, rate, 2_000));
        }
        model.run(END_MILLIS);
        let extracts = model.streams.get(1).map(LoadStream::completed_share);
        (model.streams[0].quantile(0.99), extracts)
    };
    let (idle, _) = time(0.0);
    for load in [0.4, 1.5] {
        let (busy, extracts) = time(load);
        println!(
            "checks beside {load} of extracts: {busy:?}, idle {idle:?}, extracts {extracts:?}"
        );
    }
}
