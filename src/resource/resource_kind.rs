//! Kinds of configuration resources.

use std::fmt;
use std::str::FromStr;

use bincode::{Decode, Encode};
use serde::{Deserialize, Serialize};

use crate::units::UnitError;

/// Kind of a configuration resource.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize, Encode, Decode,
)]
#[serde(rename_all = "kebab-case")]
pub enum ResourceKind {
    /// Client accounts.
    Account,
    /// Keys.
    Key,
    /// Rate limits.
    Rate,
    /// Routes.
    Route,
    /// Services.
    Service,
    /// Evacuations of availability zones.
    Evacuation,
}

impl ResourceKind {
    /// All kinds.
    pub const ALL: [Self; 6] = [
        Self::Account,
        Self::Key,
        Self::Rate,
        Self::Route,
        Self::Service,
        Self::Evacuation,
    ];
}

impl fmt::Display for ResourceKind {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Account => "account",
            Self::Key => "key",
            Self::Rate => "rate",
            Self::Route => "route",
            Self::Service => "service",
            Self::Evacuation => "evacuation",
        })
    }
}

impl FromStr for ResourceKind {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        Self::ALL
            .into_iter()
            .find(|kind| kind.to_string() == text)
            .ok_or_else(|| UnitError::Syntax("resource kind", text.to_owned(), "account"))
    }
}
