//! Why a request that may have run has no response.

use std::fmt;

use serde::Serialize;

use crate::wire::FailureCause;

/// The reason why the response to a request that may have run is lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ResponseLoss {
    /// The egress reported a failure after the start.
    Reported(FailureCause),
    /// The time for the attempt passed at the ingress. The instance may still be at work.
    TimedOut,
    /// The connection to the egress ended or went silent.
    PathLost,
    /// The ingress shut down before the response. The instance may still be at work.
    ShutDown,
}

impl ResponseLoss {
    /// The values of the reason label in metrics.
    pub const REASONS: [&'static str; 6] = [
        "instance-connection",
        "instance-timeout",
        "instance-answer",
        "timeout",
        "path",
        "shutdown",
    ];

    /// Returns the position in [`Self::REASONS`].
    #[must_use]
    pub const fn reason_index(self) -> usize {
        match self {
            Self::Reported(FailureCause::ConnectionLost) => 0,
            Self::Reported(FailureCause::Timeout) => 1,
            Self::Reported(FailureCause::BadResponse) => 2,
            Self::TimedOut => 3,
            Self::PathLost => 4,
            Self::ShutDown => 5,
        }
    }
}

impl fmt::Display for ResponseLoss {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Reported(cause) => cause.fmt(formatter),
            Self::TimedOut => formatter.write_str("no answer within the time of the attempt"),
            Self::PathLost => {
                formatter.write_str("the connection to the backend server's daemon was lost")
            }
            Self::ShutDown => formatter.write_str("this daemon stopped before the answer"),
        }
    }
}
