//! Exit codes of the daemon and of the command-line client.

use std::process::ExitCode;

/// Result of a program, returned to the shell as its exit code.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExitStatus {
    /// The program did what was asked; code 0.
    Success,
    /// The operation failed for a reason without a code of its own; code 1.
    Failure,
    /// The command line or the settings are invalid, or the daemon could not start; code 2.
    Usage,
    /// The resource does not exist; code 3.
    NotFound,
    /// The resource was changed by someone else, or exists already; code 4.
    Conflict,
    /// The fleet or the platform could not be reached, and no change was accepted; code 5.
    Unavailable,
    /// The change may have been accepted; query its operation to find out. Code 6.
    Unknown,
    /// The graceful shutdown exceeded its deadline, and requests in flight were aborted; code 7.
    ShutdownTimeout,
}

impl ExitStatus {
    /// The exit code of the process.
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
