//! Entry point of the proxy daemon, which runs beside each backend server.

use std::process::ExitCode;

use wagtailtrack::daemon::{self, CommandLine};

fn main() -> ExitCode {
    let line: CommandLine = argh::from_env();
    daemon::run(&line).into()
}
