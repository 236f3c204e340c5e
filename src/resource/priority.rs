//! Priority of a request in a queue.

use std::fmt;
use std::str::FromStr;

use bincode::{Decode, Encode};
use serde::{Deserialize, Serialize};

use crate::units::UnitError;

/// Priority of a request, 0 to 255; 0 is the most urgent.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize, Encode, Decode,
)]
#[serde(transparent)]
pub struct Priority(pub u8);

impl Priority {
    /// Priority of a request when neither its client account nor its route sets one.
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
        let priority = text.parse().map(Self);
        priority.map_err(|_| UnitError::Syntax("priority", text.to_owned(), "0"))
    }
}
