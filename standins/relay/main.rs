//! Command-line relay; each line of JSON on standard input sets its mode.

#[path = "mod.rs"]
mod relay;

use std::io::{self, BufRead};
use std::net::SocketAddr;
use std::process::ExitCode;

use argh::FromArgs;
use wagtailtrack::exit::ExitStatus;

use crate::relay::{RelayHandle, RelayMode};

/// Relays TCP and UDP on loopback; standard input sets the mode, such as "pass" or {"delay":1500}.
#[derive(Debug, FromArgs)]
struct CommandLine {
    /// address to listen on; without it, a free port on the target's IP address
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
    for mode_line in io::stdin().lock().lines() {
        match serde_json::from_str::<RelayMode>(&mode_line?) {
            Ok(mode) => handle.set(mode),
            Err(cause) => eprintln!("standin-relay: the mode is not valid: {cause}"),
        }
    }
    Ok(())
}
