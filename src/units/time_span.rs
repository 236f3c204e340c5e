//! A length of time as it is written in settings.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use crate::text_serde;
use crate::units::UnitError;

/// A length of time, written like `250ms` or `3s`; used only to compute deadlines.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, bincode::Encode, bincode::Decode,
)]
pub struct TimeSpan(Duration);

impl TimeSpan {
    /// A span of `millis` milliseconds.
    #[must_use]
    pub const fn from_millis(millis: u64) -> Self {
        Self(Duration::from_millis(millis))
    }

    /// A span of `secs` seconds.
    #[must_use]
    pub const fn from_secs(secs: u64) -> Self {
        Self(Duration::from_secs(secs))
    }

    /// The span as the standard library's type.
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
