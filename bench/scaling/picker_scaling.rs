//! Scaling benchmark of choosing an instance of a service.

use std::hint::black_box;

use wagtailtrack::balance::InstancePicker;
use wagtailtrack::time::MonoTime;
use wagtailtrack::units::Percent;
use wagtailtrack::wire::{InstanceLoad, InstancePhase, InstanceRecord};

use crate::scaling::gossip_net::instance;
use crate::scaling::scaling_figure::{ScalingFigure, micros_each, resident_bytes};

const PICKS: usize = 20_000;
const FLOOR_PERCENT: u8 = 60;

/// Measures the time of a choice among `size` instances and the memory of the picker.
pub fn measure(size: usize) -> Vec<ScalingFigure> {
    let records: Vec<InstanceRecord> = (0..size)
        .map(|index| instance(index, 0, InstancePhase::Ready))
        .collect();
    let Ok(floor) = Percent::new(FLOOR_PERCENT) else {
        return Vec::new();
    };
    let mut rng = fastrand::Rng::with_seed(1);
    let before = resident_bytes();
    let mut picker = InstancePicker::open(records[0].zone.clone());
    let now = MonoTime::from_millis(1);
    let pick = micros_each(PICKS, |_| {
        let picked = picker.pick_id(&records, floor, &[], true, now, &mut rng);
        if let Some(instance) = black_box(picked) {
            picker.on_start(&instance, now);
            picker.on_response(&instance, InstanceLoad::default(), now);
        }
    });
    vec![
        ScalingFigure::new("us a pick", pick),
        ScalingFigure::new("KiB", (resident_bytes() - before) / 1024.0),
    ]
}
