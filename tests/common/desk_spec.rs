//! The specification of the service `desk`, whose instances have one slot.

use wagtailtrack::resource::{ClassWeights, RecoveryRule, ServiceSpec};
use wagtailtrack::units::{Percent, Slots, Weight};

/// The service with equal weights, a floor of 60% and no bound for cold instances.
pub fn desk_spec() -> ServiceSpec {
    let weight = Weight::new(1).unwrap();
    ServiceSpec {
        id: "desk".parse().unwrap(),
        floor: Percent::new(60).unwrap(),
        slots: Slots::new(1).unwrap(),
        weights: ClassWeights {
            lookup: weight,
            filing: weight,
            extract: weight,
            internal_check: weight,
        },
        retry_budget: Percent::new(20).unwrap(),
        recovery: RecoveryRule::Probes,
        reserves_check_slot: false,
        cold_rate: None,
        health_path: None,
        order: wagtailtrack::resource::QueueOrder::Classes,
    }
}
