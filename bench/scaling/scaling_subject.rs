//! Components with a scaling benchmark.

use std::fmt;
use std::str::FromStr;

/// A component of the daemon whose cost depends on an input size.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ScalingSubject {
    /// Table of instance records, by the number of records.
    Records,
    /// One member's view of a fleet, by the number of daemons with 15 instances each.
    View,
    /// Gossip in a fleet, by the number of members.
    Members,
    /// Request queue of an instance, by the number of waiting requests.
    Queue,
    /// Choice of an instance of a service, by the number of instances.
    Picker,
    /// Encoding of a request offered to another daemon, by the bytes of its body.
    Offers,
    /// Configuration catalog, by the number of client accounts.
    Catalog,
}

impl ScalingSubject {
    /// Every component.
    pub const ALL: [Self; 7] = [
        Self::Records,
        Self::View,
        Self::Members,
        Self::Queue,
        Self::Picker,
        Self::Offers,
        Self::Catalog,
    ];

    /// Input sizes to measure.
    pub const fn sizes(self) -> &'static [usize] {
        match self {
            Self::Records => &[100, 1_000, 10_000, 62_000],
            Self::View => &[100, 400, 1_600, 4_100],
            Self::Members => &[10, 50, 100, 200, 400],
            Self::Queue => &[4, 16, 64, 256],
            Self::Picker => &[4, 44, 200, 1_000],
            Self::Offers => &[0, 1_000, 10_000, 100_000],
            Self::Catalog => &[1_000, 10_000, 100_000, 220_000],
        }
    }

    const fn as_str(self) -> &'static str {
        match self {
            Self::Records => "records",
            Self::View => "view",
            Self::Members => "members",
            Self::Queue => "queue",
            Self::Picker => "picker",
            Self::Offers => "offers",
            Self::Catalog => "catalog",
        }
    }
}

impl fmt::Display for ScalingSubject {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}

impl FromStr for ScalingSubject {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let found = Self::ALL.into_iter().find(|one| one.as_str() == text);
        found.ok_or_else(|| {
            let names = Self::ALL.map(Self::as_str).join(", ");
            format!("subject '{text}' is unknown; use one of {names}")
        })
    }
}
