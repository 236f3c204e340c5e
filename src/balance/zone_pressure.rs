//! How short of room the instances of a service are in one zone, as seen from an ingress.

use std::time::Duration;

use serde::Serialize;

use crate::time::{Deadline, MonoTime};

/// Time without a sample in which the pressure of the own zone halves.
const HOME_HALF_LIFE_SECS: f64 = 1.0;
/// The same for another zone, which has fewer samples.
const OTHER_HALF_LIFE_SECS: f64 = 3.0;
/// Largest weight of a sample of another zone, so that one busy instance does not stand for the zone.
const OTHER_SAMPLE_WEIGHT: f64 = 0.4;
/// Smallest weight of a sample.
const MIN_SAMPLE_WEIGHT: f64 = 0.2;
/// Age at which the samples so far count as much as the next one.
const SAMPLE_HALF_LIFE_SECS: f64 = 0.25;
/// Upper limit of a sample.
const MAX_SAMPLE: f64 = 2.0;
/// Shortest time that a wait is compared with.
const MIN_LIMIT_SECS: f64 = 0.001;
/// How long a zone is avoided after the paths to its instances failed.
const UNREACHABLE_AVOIDANCE: Duration = Duration::from_secs(2);
/// Failures without a response in between from which a zone counts as unreachable. One failure may be
/// that of a single VM.
const UNREACHABLE_FAILURES: u32 = 2;

/// The expected wait for a slot as a share of the wait that leaves enough time: 0 while slots are
/// free, 1 or more when requests cannot be served in time.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct ZonePressure {
    level: f64,
    #[serde(skip)]
    half_life_secs: f64,
    #[serde(skip)]
    max_sample_weight: f64,
    sampled_at: MonoTime,
    failures: u32,
    unreachable_until: Deadline,
}

impl ZonePressure {
    /// Returns the pressure of the own zone, without samples.
    #[must_use]
    pub const fn home() -> Self {
        Self::open(HOME_HALF_LIFE_SECS, 1.0)
    }

    /// Returns the pressure of another zone, without samples.
    #[must_use]
    pub const fn other() -> Self {
        Self::open(OTHER_HALF_LIFE_SECS, OTHER_SAMPLE_WEIGHT)
    }

    const fn open(half_life_secs: f64, max_sample_weight: f64) -> Self {
        Self {
            level: 0.0,
            half_life_secs,
            max_sample_weight,
            sampled_at: MonoTime::ZERO,
            failures: 0,
            unreachable_until: Deadline::at(MonoTime::ZERO),
        }
    }

    /// Records that an instance of the zone had a free slot.
    pub fn on_free(&mut self, now: MonoTime) {
        self.add_sample(0.0, now);
    }

    /// Records that a request expects to wait for `wait` in the zone, where at most `limit` leaves
    /// enough time.
    pub fn on_wait(&mut self, wait: Duration, limit: Duration, now: MonoTime) {
        let limit_secs = limit.as_secs_f64().max(MIN_LIMIT_SECS);
        self.add_sample((wait.as_secs_f64() / limit_secs).min(MAX_SAMPLE), now);
    }

    /// Records that the path to an instance of the zone failed.
    pub fn on_unreachable(&mut self, now: MonoTime) {
        self.failures = self.failures.saturating_add(1);
        if self.failures >= UNREACHABLE_FAILURES {
            self.unreachable_until = now.after(UNREACHABLE_AVOIDANCE);
        }
    }

    /// Returns the pressure, which fades while there are no samples.
    #[must_use]
    pub fn level(&self, now: MonoTime) -> f64 {
        self.level * (-self.age_secs(now) / self.half_life_secs).exp2()
    }

    /// Whether the zone is to be avoided because the paths to it have just failed.
    #[must_use]
    pub fn is_unreachable(&self, now: MonoTime) -> bool {
        !self.unreachable_until.has_passed(now)
    }

    fn add_sample(&mut self, sample: f64, now: MonoTime) {
        let faded = 1.0 - (-self.age_secs(now) / SAMPLE_HALF_LIFE_SECS).exp2();
        let level = self.level(now);
        let weight = faded.clamp(MIN_SAMPLE_WEIGHT, self.max_sample_weight);
        self.level = level + (sample - level) * weight;
        self.sampled_at = now;
        self.failures = 0;
    }

    fn age_secs(&self, now: MonoTime) -> f64 {
        now.since(self.sampled_at).as_secs_f64()
    }
}
