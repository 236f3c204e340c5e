//! The operators' client.

use std::process::ExitCode;

use wagtailtrack::client::{self, CommandLine};
use wagtailtrack::exit::ExitStatus;

fn main() -> ExitCode {
    let line: CommandLine = argh::from_env();
    match actix_rt::System::new().block_on(client::run(&line)) {
        Ok(output) => {
            println!("{output}");
            ExitStatus::Success.into()
        }
        Err(error) => {
            eprintln!("wagtailtrack: {error}");
            error.exit_status().into()
        }
    }
}
