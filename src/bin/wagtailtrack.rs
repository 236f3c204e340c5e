//! Command-line client with which operators read and change the configuration of a fleet.

use std::process::ExitCode;

use wagtailtrack::client::{self, CommandLine};
use wagtailtrack::exit::ExitStatus;

fn main() -> ExitCode {
    let line = match CommandLine::open() {
        Ok(line) => line,
        Err(early) => return end_early(&early),
    };
    let mut print = |text: &str| println!("{text}");
    let running = client::run(&line, &mut print);
    match actix_rt::System::new().block_on(running) {
        Ok(()) => ExitStatus::Success.into(),
        Err(error) => {
            eprintln!("wagtailtrack: {error}");
            error.exit_status().into()
        }
    }
}

/// Prints the help text on the standard output, or a usage error on the standard error output.
fn end_early(early: &argh::EarlyExit) -> ExitCode {
    if early.status.is_ok() {
        println!("{}", early.output);
        return ExitStatus::Success.into();
    }
    eprintln!("{}", early.output.trim_end());
    ExitStatus::Usage.into()
}
