//! Guards against the ejection of healthy instances when something affects the whole service:
//! overload, slowdowns, pauses, cold starts. Simulated in virtual time.

mod models;

use models::{InstanceFault, ModelPolicy, ServiceModel};

const SEEDS: [u64; 2] = [11, 12];
const FAULT_MILLIS: u64 = 13_000;
const END_MILLIS: u64 = 20_000;
/// Ticks of 50 ms until records have reached every daemon.
const GOSSIP_TICKS: [usize; 2] = [6, 12];

fn service(seed: u64, share: f64) -> ServiceModel {
    let mut model = ServiceModel::open(seed, 17, 3, ModelPolicy::FLEET);
    model.add_lookups(share);
    model
}

fn faulty_service(seed: u64, share: f64, fault: InstanceFault) -> ServiceModel {
    let mut model = service(seed, share);
    for instance in 0..17 {
        model.inject_fault(instance, fault, FAULT_MILLIS);
    }
    model
}

fn check_none_ejected(set_up: impl Fn(u64) -> ServiceModel) {
    for seed in SEEDS {
        let mut model = set_up(seed);
        model.run(END_MILLIS);
        assert_eq!(model.ejections, vec![], "seed {seed}");
    }
}

fn check_slowdown(factor: f64) {
    for ticks in GOSSIP_TICKS {
        for share in [0.1, 0.5] {
            check_none_ejected(|seed| {
                let mut model = faulty_service(seed, share, InstanceFault::Slow(factor));
                model.gossip_ticks = ticks;
                model
            });
        }
    }
}

#[test]
fn overload() {
    check_none_ejected(|seed| service(seed, 1.5));
}

#[test]
fn service_slows_threefold() {
    check_slowdown(3.0);
}

#[test]
fn service_slows_tenfold() {
    check_slowdown(10.0);
}

#[test]
fn service_sheds() {
    check_none_ejected(|seed| faulty_service(seed, 0.5, InstanceFault::Shedding(0.5)));
}

#[test]
fn service_freezes() {
    check_none_ejected(|seed| faulty_service(seed, 0.5, InstanceFault::Pause(1_500)));
}

#[test]
fn cold_starts() {
    check_none_ejected(|seed| {
        let mut model = service(seed, 0.5);
        for instance in 0..5 {
            model.inject_fault(instance, InstanceFault::Cold(4.0, 8_000), 0);
        }
        model
    });
}

#[test]
fn short_pauses() {
    check_none_ejected(|seed| {
        let mut model = service(seed, 0.5);
        for instance in 0..17 {
            let begins = FAULT_MILLIS + 350 * instance as u64;
            model.inject_fault(instance, InstanceFault::Pause(400), begins);
        }
        model
    });
}

#[test]
fn mixed_classes() {
    check_none_ejected(|seed| {
        let mut model = service(seed, 0.3);
        model.add_bulk(0.3);
        model
    });
}
