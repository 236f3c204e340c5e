//! The daemon's entry point.

use std::process::ExitCode;

use wagtailtrack::daemon::CommandLine;
use wagtailtrack::exit::ExitStatus;
use wagtailtrack::settings::DaemonSettings;

fn main() -> ExitCode {
    let line: CommandLine = argh::from_env();
    match DaemonSettings::open(&line.config) {
        Ok(_) => ExitStatus::Success.into(),
        Err(error) => {
            eprintln!("wagtailtrackd: {error}");
            ExitStatus::Usage.into()
        }
    }
}
