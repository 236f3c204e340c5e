//! Faults that the simulated platform injects.

use serde::{Deserialize, Serialize};

/// JSON body of `POST /control`: the treatment of requests from now on.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum PlatformMode {
    /// Executes requests without delay.
    #[default]
    Up,
    /// Refuses every request with status 503 and executes none.
    Down,
    /// Executes each request after this many milliseconds.
    Slow(u64),
    /// Executes writes, but closes the connection without a complete response.
    LoseAnswers,
}
