//! Command-line options of the daemon `wagtailtrackd`.

use std::path::PathBuf;

use argh::FromArgs;

/// Runs one daemon of the proxy fleet.
#[derive(Debug, FromArgs)]
pub struct CommandLine {
    /// settings file in TOML
    #[argh(option)]
    pub config: PathBuf,
}
