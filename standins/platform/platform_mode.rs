//! How the stand-in behaves.

use serde::{Deserialize, Serialize};

/// Body of `POST /control`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum PlatformMode {
    /// Answers at once.
    #[default]
    Up,
    /// Refuses every call and does nothing.
    Down,
    /// Answers after so many milliseconds.
    Slow(u64),
    /// Writes take effect, but the connection closes without an answer.
    LoseAnswers,
}
