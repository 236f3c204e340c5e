//! How long requests take.

use std::f64::consts::TAU;
use std::time::Duration;

/// Standard deviation of the logarithm.
const SPREAD: f64 = 0.3;
/// How many times as long a request takes right after the start.
const COLD_FACTOR: f64 = 5.0;

/// A lognormal service time that is longer after a cold start.
#[derive(Debug, Clone, Copy)]
pub struct ServiceTime {
    median: Duration,
    cold: Duration,
}

impl ServiceTime {
    /// A service time with this median, reached `cold` after the start.
    pub const fn new(median: Duration, cold: Duration) -> Self {
        Self { median, cold }
    }

    /// Draws the time of a request that comes at `age` and is served `factor` times as slowly.
    pub fn draw(&self, age: Duration, factor: f64, rng: &mut fastrand::Rng) -> Duration {
        let spread = (SPREAD * normal(rng)).exp();
        self.median.mul_f64(spread * factor * self.cold_factor(age))
    }

    fn cold_factor(&self, age: Duration) -> f64 {
        if age >= self.cold {
            return 1.0;
        }
        let left = 1.0 - age.as_secs_f64() / self.cold.as_secs_f64();
        1.0 + (COLD_FACTOR - 1.0) * left
    }
}

fn normal(rng: &mut fastrand::Rng) -> f64 {
    let radius = (-2.0 * (1.0 - rng.f64()).ln()).sqrt();
    radius * (TAU * rng.f64()).cos()
}
