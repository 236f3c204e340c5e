//! Runs a daemon until it receives SIGTERM or SIGINT.

use std::path::PathBuf;
use std::pin::pin;

use futures_util::future::{Either, select};
use tokio::signal::unix::{Signal, SignalKind, signal};

use crate::daemon::{CommandLine, DaemonHandle, ProtocolAdapters, settings_watch};
use crate::exit::ExitStatus;
use crate::logs;
use crate::settings::DaemonSettings;

/// Runs a daemon with the settings file given on the command line, over this project's own protocols.
#[must_use]
pub fn run(line: &CommandLine) -> ExitStatus {
    run_with(line, ProtocolAdapters::open)
}

/// Runs a daemon like [`run`], but with the protocol adapters that `adapters` builds from the
/// settings.
#[must_use]
pub fn run_with(
    line: &CommandLine,
    adapters: impl FnOnce(&DaemonSettings) -> ProtocolAdapters,
) -> ExitStatus {
    let settings = match DaemonSettings::open(&line.config) {
        Ok(settings) => settings,
        Err(error) => return fail(&error.to_string()),
    };
    if let Err(error) = logs::open(settings.log_level) {
        return fail(&error.to_string());
    }
    let status = actix_rt::System::new().block_on(async {
        let adapters = adapters(&settings);
        serve(line.config.clone(), settings, adapters).await
    });
    logs::flush();
    status
}

async fn serve(path: PathBuf, settings: DaemonSettings, adapters: ProtocolAdapters) -> ExitStatus {
    let (terminate, interrupt, hangup) = match (
        signal(SignalKind::terminate()),
        signal(SignalKind::interrupt()),
        signal(SignalKind::hangup()),
    ) {
        (Ok(terminate), Ok(interrupt), Ok(hangup)) => (terminate, interrupt, hangup),
        (Err(error), ..) | (_, Err(error), _) | (.., Err(error)) => {
            return fail(&error.to_string());
        }
    };
    actix_rt::spawn(settings_watch::run(path, settings.clone(), hangup));
    let daemon = match DaemonHandle::open(settings, adapters).await {
        Ok(daemon) => daemon,
        Err(error) => return fail(&error.to_string()),
    };
    let signaled = wait_for_signal(terminate, interrupt);
    let ready = pin!(daemon.wait_ready());
    if let Either::Left(((), signaled)) = select(ready, pin!(signaled)).await {
        signaled.await;
    }
    daemon.stop().await
}

/// Waits for the first of the two signals that end the daemon.
async fn wait_for_signal(mut terminate: Signal, mut interrupt: Signal) {
    select(pin!(terminate.recv()), pin!(interrupt.recv())).await;
}

/// Reports an error of the startup on the standard error output.
fn fail(message: &str) -> ExitStatus {
    eprintln!("wagtailtrackd: {message}");
    ExitStatus::Usage
}
