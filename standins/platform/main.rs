//! Simulated platform with an in-memory table and object store, for tests and benchmarks.

use std::net::SocketAddr;
use std::process::ExitCode;

use argh::FromArgs;
use wagtailtrack::exit::ExitStatus;

mod call_counts;
mod platform_mode;
mod platform_server;
mod platform_table;

/// Simulates the platform's table and object store in memory.
#[derive(FromArgs)]
struct CommandLine {
    /// address to listen on
    #[argh(option)]
    listen: SocketAddr,
}

fn main() -> ExitCode {
    let line: CommandLine = argh::from_env();
    actix_rt::System::new().block_on(run(line.listen)).into()
}

async fn run(address: SocketAddr) -> ExitStatus {
    let server = match platform_server::bind(address).await {
        Ok(server) => server,
        Err(cause) => {
            eprintln!(
                "standin-platform: cannot listen on {address}: {cause}; name a free address with --listen"
            );
            return ExitStatus::Usage;
        }
    };
    println!("ready {}", server.address());
    std::future::pending().await
}
