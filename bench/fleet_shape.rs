//! Sizes of the benchmarked fleets.

use std::fmt;
use std::str::FromStr;

/// Size of a fleet, taken from the deployment of a user.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FleetShape {
    /// Skupna Zapora: a permit desk and an archive in four availability zones.
    Skupna,
    /// Indexwerk: an index desk and a figures hub in three availability zones.
    Indexwerk,
}

impl FleetShape {
    /// Number of instances of the desk service.
    pub const fn desk_instances(self) -> usize {
        match self {
            Self::Skupna => 17,
            Self::Indexwerk => 18,
        }
    }

    /// Number of instances of the archive service.
    pub const fn archive_instances(self) -> usize {
        match self {
            Self::Skupna => 8,
            Self::Indexwerk => 6,
        }
    }

    /// Number of instances of both services; each has its own daemon.
    pub const fn instances(self) -> usize {
        self.desk_instances() + self.archive_instances()
    }

    /// Number of requests that an instance runs concurrently.
    pub const fn slots(self) -> u32 {
        match self {
            Self::Skupna => 3,
            Self::Indexwerk => 5,
        }
    }

    /// Number of availability zones.
    pub const fn zones(self) -> usize {
        match self {
            Self::Skupna => 4,
            Self::Indexwerk => 3,
        }
    }
}

impl fmt::Display for FleetShape {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Skupna => "skupna",
            Self::Indexwerk => "indexwerk",
        })
    }
}

impl FromStr for FleetShape {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "skupna" => Ok(Self::Skupna),
            "indexwerk" => Ok(Self::Indexwerk),
            _ => Err(format!(
                "shape '{text}' is unknown; use skupna or indexwerk"
            )),
        }
    }
}
