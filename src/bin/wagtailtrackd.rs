//! The daemon's entry point.

use std::process::ExitCode;

use wagtailtrack::daemon::{self, CommandLine};

fn main() -> ExitCode {
    let line: CommandLine = argh::from_env();
    daemon::run(&line).into()
}
