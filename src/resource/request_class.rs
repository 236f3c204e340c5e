//! Request classes and their weights for fair queueing.

use std::fmt;
use std::str::FromStr;

use bincode::{Decode, Encode};
use serde::{Deserialize, Serialize};

use crate::units::{UnitError, Weight};

/// Class of a request, which determines its weight in the queue of an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, Encode, Decode)]
#[serde(rename_all = "kebab-case")]
pub enum RequestClass {
    /// A query that is safe to repeat.
    Lookup,
    /// The filing of a permit or a return.
    Filing,
    /// A bulk download from the archive.
    Extract,
    /// A check that one service requests from another. It earns no credit.
    InternalCheck,
    /// A request with a large body that may run at most once, whatever its method.
    Upload,
}

impl RequestClass {
    /// All classes.
    pub const ALL: [Self; 5] = [
        Self::Lookup,
        Self::Filing,
        Self::Extract,
        Self::InternalCheck,
        Self::Upload,
    ];

    /// Whether requests of the class may be repeated at all. If not, the method of a request does
    /// not matter.
    #[must_use]
    pub const fn is_repeatable(self) -> bool {
        !matches!(self, Self::Upload)
    }

    /// Whether requests or responses of the class are large, so that their bytes count when an
    /// instance is chosen.
    #[must_use]
    pub const fn is_bulk(self) -> bool {
        matches!(self, Self::Extract | Self::Upload)
    }

    /// Whether a completed request of the class counts towards its client account's credit.
    #[must_use]
    pub const fn earns_credit(self) -> bool {
        !matches!(self, Self::InternalCheck)
    }
}

impl fmt::Display for RequestClass {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Lookup => "lookup",
            Self::Filing => "filing",
            Self::Extract => "extract",
            Self::InternalCheck => "internal-check",
            Self::Upload => "upload",
        })
    }
}

impl FromStr for RequestClass {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        Self::ALL
            .into_iter()
            .find(|class| class.to_string() == text)
            .ok_or_else(|| UnitError::Syntax("class", text.to_owned(), "lookup"))
    }
}

/// Scheduling weight of each request class in a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct ClassWeights {
    /// Weight of lookups.
    pub lookup: Weight,
    /// Weight of filings, and of uploads.
    pub filing: Weight,
    /// Weight of extracts.
    pub extract: Weight,
    /// Weight of internal checks, which sets their guaranteed share.
    pub internal_check: Weight,
}

impl ClassWeights {
    /// Weights of a service for which operators set none: filings and internal checks have the highest,
    /// then lookups, then extracts.
    pub const DEFAULT: Self = Self {
        lookup: Weight::fixed(4),
        filing: Weight::fixed(8),
        extract: Weight::fixed(2),
        internal_check: Weight::fixed(8),
    };

    /// Weight of `class`.
    #[must_use]
    pub const fn weight(&self, class: RequestClass) -> Weight {
        match class {
            RequestClass::Lookup => self.lookup,
            RequestClass::Filing | RequestClass::Upload => self.filing,
            RequestClass::Extract => self.extract,
            RequestClass::InternalCheck => self.internal_check,
        }
    }
}
