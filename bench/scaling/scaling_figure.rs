//! Measured values of a scaling benchmark.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::process_usage::ProcessUsage;

/// A measured value with its name.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ScalingFigure {
    /// Name of the value, which includes its unit.
    pub name: String,
    /// Measured value.
    pub value: f64,
}

impl ScalingFigure {
    /// Creates a figure; `name` includes the unit.
    pub fn new(name: &str, value: f64) -> Self {
        Self {
            name: name.to_owned(),
            value,
        }
    }
}

/// Resident memory of this process, in bytes; NaN if it cannot be read.
pub fn resident_bytes() -> f64 {
    let usage = ProcessUsage::read(std::process::id());
    usage.map_or(f64::NAN, |usage| usage.resident_bytes as f64)
}

/// Mean duration of `count` calls of `work`, in microseconds.
pub fn micros_each(count: usize, mut work: impl FnMut(usize)) -> f64 {
    let started = Instant::now();
    for index in 0..count {
        work(index);
    }
    micros(started.elapsed()) / count as f64
}

/// Converts a duration to microseconds.
pub fn micros(span: Duration) -> f64 {
    span.as_secs_f64() * 1e6
}
