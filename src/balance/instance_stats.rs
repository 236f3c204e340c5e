//! What an ingress knows of an instance beyond its record.

use serde::Serialize;

use crate::balance::load_estimate::LoadEstimate;
use crate::balance::path_backoff::PathBackoff;
use crate::time::MonoTime;

const HALF_LIFE_SECS: f64 = 1.0;

/// The load, the path and the recent choices of one instance.
#[derive(Debug, Clone, Copy, Serialize)]
pub(super) struct InstanceStats {
    /// Its believed load.
    pub(super) load: LoadEstimate,
    /// The path to its egress.
    pub(super) path: PathBackoff,
    choices: f64,
    counted_at: MonoTime,
}

impl InstanceStats {
    /// An instance not heard of before.
    pub(super) fn open() -> Self {
        Self {
            load: LoadEstimate::default(),
            path: PathBackoff::open(),
            choices: 0.0,
            counted_at: MonoTime::ZERO,
        }
    }

    /// The instance was chosen.
    pub(super) fn chosen(&mut self, now: MonoTime) {
        self.choices = self.choices_at(now) + 1.0;
        self.counted_at = now;
        self.load.started();
    }

    /// Recent choices; they halve every second.
    pub(super) fn choices_at(&self, now: MonoTime) -> f64 {
        let age_secs = now.since(self.counted_at).as_secs_f64();
        self.choices * (-age_secs / HALF_LIFE_SECS).exp2()
    }
}
