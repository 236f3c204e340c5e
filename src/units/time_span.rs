//! Durations with a text form for settings and command lines.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use crate::text_serde;
use crate::units::UnitError;

/// A duration, written like `250ms` or `3s`.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, bincode::Encode, bincode::Decode,
)]
pub struct TimeSpan(Duration);

impl TimeSpan {
    /// Creates a duration of `millis` milliseconds.
    #[must_use]
    pub const fn from_millis(millis: u64) -> Self {
        Self(Duration::from_millis(millis))
    }

    /// Creates a duration of `secs` seconds.
    #[must_use]
    pub const fn from_secs(secs: u64) -> Self {
        Self(Duration::from_secs(secs))
    }

    /// Returns the duration as the standard library's type.
    #[must_use]
    pub const fn get(self) -> Duration {
        self.0
    }
}

impl fmt::Display for TimeSpan {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        humantime::format_duration(self.0).fmt(formatter)
    }
}

impl FromStr for TimeSpan {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        humantime::parse_duration(text)
            .ok()
            .or_else(|| parse_fraction(text))
            .map(Self)
            .ok_or_else(|| UnitError::Syntax("time span", text.to_owned(), "250ms"))
    }
}

/// Parses a decimal fraction with one unit, like `2.5s`; whole microseconds are kept.
fn parse_fraction(text: &str) -> Option<Duration> {
    let unit_at = text.find(|one: char| one.is_ascii_alphabetic())?;
    let (number, unit) = text.split_at(unit_at);
    let factor = humantime::parse_duration(&format!("1{unit}")).ok()?;
    let number: f64 = number.parse().ok()?;
    let span = Duration::try_from_secs_f64(factor.as_secs_f64() * number).ok()?;
    Some(Duration::from_micros(u64::try_from(span.as_micros()).ok()?))
}

text_serde!(TimeSpan);
