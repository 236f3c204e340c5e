//! Scaling benchmark of the request queue of one instance.

use std::time::Duration;

use wagtailtrack::ids::{BootId, RequestId};
use wagtailtrack::queue::{InstanceQueue, QueueAction, QueuedRequest, RequestKey};
use wagtailtrack::resource::{ClassWeights, RequestClass};
use wagtailtrack::time::MonoTime;
use wagtailtrack::units::{Slots, Weight};

use crate::scaling::scaling_figure::{ScalingFigure, micros_each, resident_bytes};

const SLOTS: u32 = 3;
const CYCLES: usize = 20_000;
const SERVICE: Duration = Duration::from_millis(1);
const ACCOUNTS: usize = 64;

/// Measures the memory of a queue with `size` waiting requests, and the time to enqueue a request
/// and finish another.
pub fn measure(size: usize) -> Vec<ScalingFigure> {
    let Some((slots, weights)) = slots_and_weights() else {
        return Vec::new();
    };
    let before = resident_bytes();
    let mut queue = InstanceQueue::open(slots, weights);
    let mut running = Vec::new();
    for number in 0..size + SLOTS as usize {
        queue.enqueue(request(number, MonoTime::ZERO), MonoTime::ZERO);
        if number < SLOTS as usize {
            running.push(key(number));
        }
    }
    let bytes = resident_bytes() - before;
    let mut now = MonoTime::ZERO;
    let cycle = micros_each(CYCLES, |index| {
        now = now + SERVICE;
        queue.enqueue(request(size + SLOTS as usize + index, now), now);
        let Some(ended) = running.pop() else { return };
        for action in queue.finish(ended, SERVICE, now) {
            if let QueueAction::Start(key) = action {
                running.push(key);
            }
        }
    });
    let tick = micros_each(CYCLES / 20, |_| {
        queue.tick(now);
    });
    vec![
        ScalingFigure::new("us to take one in and end one", cycle),
        ScalingFigure::new("us a tick", tick),
        ScalingFigure::new("waiting at the end", f64::from(queue.load().queued)),
        ScalingFigure::new("KiB", bytes / 1024.0),
    ]
}

fn slots_and_weights() -> Option<(Slots, ClassWeights)> {
    let weight = Weight::new(1).ok()?;
    let weights = ClassWeights {
        lookup: weight,
        filing: weight,
        extract: weight,
        internal_check: weight,
    };
    Some((Slots::new(SLOTS).ok()?, weights))
}

const fn key(number: usize) -> RequestKey {
    RequestKey {
        boot: BootId(1),
        request: RequestId(number as u64),
    }
}

#[expect(clippy::unwrap_used, reason = "the name is well formed")]
fn request(number: usize, now: MonoTime) -> QueuedRequest {
    QueuedRequest {
        key: key(number),
        account: format!("account-{}", number % ACCOUNTS).parse().unwrap(),
        class: RequestClass::Lookup,
        deadline: now.after(Duration::from_secs(3_600)),
    }
}
