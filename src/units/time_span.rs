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
            .map(Self)
            .map_err(|_| UnitError::Syntax("time span", text.to_owned(), "250ms"))
    }
}

text_serde!(TimeSpan);
