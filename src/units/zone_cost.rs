//! What it costs to send a request to another availability zone.

use std::fmt;
use std::str::FromStr;

use crate::text_serde;
use crate::units::UnitError;

/// Load a slot by which an instance of the own availability zone may be busier than one of another
/// and still be chosen, written like `0.25`.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ZoneCost(f64);

impl ZoneCost {
    /// The plain number.
    #[must_use]
    pub const fn get(self) -> f64 {
        self.0
    }
}

impl Default for ZoneCost {
    /// Settles the choice between instances that are alike.
    fn default() -> Self {
        Self(0.02)
    }
}

impl fmt::Display for ZoneCost {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

impl FromStr for ZoneCost {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text.parse::<f64>() {
            Ok(cost) if (0.0..=10.0).contains(&cost) => Ok(Self(cost)),
            _ => Err(UnitError::Syntax("zone cost", text.to_owned(), "0.25")),
        }
    }
}

text_serde!(ZoneCost);
