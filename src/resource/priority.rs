//! How urgent a request is.

use std::fmt;
use std::str::FromStr;

use bincode::{Decode, Encode};
use serde::{Deserialize, Serialize};

use crate::units::UnitError;

/// A rank among requests: 0 is the most urgent.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize, Encode, Decode,
)]
#[serde(transparent)]
pub struct Priority(pub u8);

impl Priority {
    /// The rank of a request whose route names none.
    pub const DEFAULT: Self = Self(1);
}

impl Default for Priority {
    fn default() -> Self {
        Self::DEFAULT
    }
}

impl fmt::Display for Priority {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

impl FromStr for Priority {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let rank = text.parse().map(Self);
        rank.map_err(|_| UnitError::Form("priority", text.to_owned(), "0"))
    }
}
