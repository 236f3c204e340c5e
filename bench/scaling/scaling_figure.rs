//! One figure of one size.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::process_usage::ProcessUsage;

/// A named figure.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct SlopeFigure {
    /// What it tells, with its unit.
    pub name: String,
    /// The figure.
    pub value: f64,
}

impl SlopeFigure {
    /// A figure called `name`.
    pub fn new(name: &str, value: f64) -> Self {
        Self {
            name: name.to_owned(),
            value,
        }
    }
}

/// Resident memory of this process, in bytes.
pub fn resident_bytes() -> f64 {
    let usage = ProcessUsage::read(std::process::id());
    usage.map_or(f64::NAN, |usage| usage.resident_bytes as f64)
}

/// Microseconds that one of `count` runs of `work` takes.
pub fn micros_each(count: usize, mut work: impl FnMut(usize)) -> f64 {
    let begun = Instant::now();
    for index in 0..count {
        work(index);
    }
    micros(begun.elapsed()) / count as f64
}

/// A span in microseconds.
pub fn micros(span: Duration) -> f64 {
    span.as_secs_f64() * 1e6
}
