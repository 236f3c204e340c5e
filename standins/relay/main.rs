//! The relay as a program: one line of JSON on the standard input sets the mode.

#[path = "mod.rs"]
mod relay;

use std::io::{self, BufRead};
use std::net::SocketAddr;
use std::process::ExitCode;

use argh::FromArgs;
use wagtailtrack::exit::ExitStatus;

use crate::relay::{RelayHandle, RelayMode};

/// Relays TCP and UDP on loopback; modes such as "pass" or {"delay":1500} come on the standard input.
#[derive(Debug, FromArgs)]
struct CommandLine {
    /// address to listen on; a free port when absent
    #[argh(option)]
    listen: Option<SocketAddr>,
    /// address to relay to
    #[argh(option)]
    to: SocketAddr,
}

fn main() -> ExitCode {
    let line: CommandLine = argh::from_env();
    match run(&line) {
        Ok(()) => ExitStatus::Success.into(),
        Err(cause) => {
            eprintln!("standin-relay: {cause}");
            ExitStatus::Failure.into()
        }
    }
}

fn run(line: &CommandLine) -> io::Result<()> {
    let handle = match line.listen {
        Some(listen) => RelayHandle::bind_at(listen, line.to)?,
        None => RelayHandle::bind(line.to)?,
    };
    println!("ready {}", handle.address());
    for order in io::stdin().lock().lines() {
        match serde_json::from_str::<RelayMode>(&order?) {
            Ok(mode) => handle.set(mode),
            Err(cause) => eprintln!("standin-relay: {cause}"),
        }
    }
    Ok(())
}
