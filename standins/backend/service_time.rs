//! Random service times of requests.

use std::f64::consts::TAU;
use std::time::Duration;

/// Standard deviation of the logarithm of the service time.
const SPREAD: f64 = 0.3;
/// Multiple of the service time right after the starting phase.
const COLD_START_FACTOR: f64 = 5.0;

/// Lognormal service time that is longer during a warm-up.
#[derive(Debug, Clone, Copy)]
pub struct ServiceTime {
    median: Duration,
    warm_up: Duration,
}

impl ServiceTime {
    /// A service time that falls to `median` over the first `warm_up` of the instance's age.
    pub const fn new(median: Duration, warm_up: Duration) -> Self {
        Self { median, warm_up }
    }

    /// Samples the service time at the instance's `age`, multiplied by `slowdown`.
    pub fn sample(&self, age: Duration, slowdown: f64, rng: &mut fastrand::Rng) -> Duration {
        let spread = (SPREAD * normal(rng)).exp();
        self.median
            .mul_f64(spread * slowdown * self.warm_up_factor(age))
    }

    fn warm_up_factor(&self, age: Duration) -> f64 {
        if age >= self.warm_up {
            return 1.0;
        }
        let left = 1.0 - age.as_secs_f64() / self.warm_up.as_secs_f64();
        1.0 + (COLD_START_FACTOR - 1.0) * left
    }
}

/// Samples the standard normal distribution with the Box-Muller transform.
fn normal(rng: &mut fastrand::Rng) -> f64 {
    let radius = (-2.0 * (1.0 - rng.f64()).ln()).sqrt();
    radius * (TAU * rng.f64()).cos()
}
