//! The exit codes of every program of the project, in one place.

use std::process::ExitCode;

/// How a program ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExitStatus {
    /// All went well.
    Success,
    /// The operation failed.
    Failure,
    /// The command line or the settings are wrong.
    Usage,
    /// The resource does not exist.
    NotFound,
    /// The resource changed meanwhile, or exists already.
    Conflict,
    /// The fleet or the platform could not be reached; nothing was accepted.
    Unavailable,
    /// The change may have been accepted; ask again by its operation.
    Unknown,
    /// Work was cut off because the stop took longer than its deadline.
    ShutdownTimeout,
}

impl ExitStatus {
    /// The code that the process returns.
    #[must_use]
    pub const fn code(self) -> u8 {
        match self {
            Self::Success => 0,
            Self::Failure => 1,
            Self::Usage => 2,
            Self::NotFound => 3,
            Self::Conflict => 4,
            Self::Unavailable => 5,
            Self::Unknown => 6,
            Self::ShutdownTimeout => 7,
        }
    }
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> Self {
        Self::from(status.code())
    }
}
