//! The load penalty for sending requests to another availability zone.

use std::fmt;
use std::str::FromStr;

use crate::text_serde;
use crate::units::UnitError;

/// Load per slot that is added for instances in another availability zone, written like `0.25`.
///
/// An instance in the own availability zone is preferred until it is busier by this much. The range is
/// 0 to 10.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ZoneCost(f64);

impl ZoneCost {
    /// Returns the penalty in load per slot.
    #[must_use]
    pub const fn get(self) -> f64 {
        self.0
    }
}

impl Default for ZoneCost {
    /// Returns a small penalty, which only breaks ties between equally loaded instances.
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
