//! The sizes of the two users.

use std::fmt;
use std::str::FromStr;

/// A user whose sizes are measured.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UserShape {
    /// Skupna Zapora: a permit desk and an archive in four zones.
    Skupna,
    /// Indexwerk: an index desk and a figures hub in three zones.
    Indexwerk,
}

impl UserShape {
    /// Instances of the desk.
    pub const fn desks(self) -> usize {
        match self {
            Self::Skupna => 17,
            Self::Indexwerk => 18,
        }
    }

    /// Instances of the archive.
    pub const fn archives(self) -> usize {
        match self {
            Self::Skupna => 8,
            Self::Indexwerk => 6,
        }
    }

    /// All instances, each beside a daemon of its own.
    pub const fn instances(self) -> usize {
        self.desks() + self.archives()
    }

    /// Slots of an instance.
    pub const fn slots(self) -> u32 {
        match self {
            Self::Skupna => 3,
            Self::Indexwerk => 5,
        }
    }

    /// Availability zones.
    pub const fn zones(self) -> usize {
        match self {
            Self::Skupna => 4,
            Self::Indexwerk => 3,
        }
    }
}

impl fmt::Display for UserShape {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Skupna => "skupna",
            Self::Indexwerk => "indexwerk",
        })
    }
}

impl FromStr for UserShape {
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
