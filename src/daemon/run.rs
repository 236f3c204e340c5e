//! Runs a daemon until it is told to stop.

use std::path::PathBuf;
use std::pin::pin;

use futures_util::future::{Either, select};
use tokio::signal::unix::{Signal, SignalKind, signal};

use crate::daemon::{CommandLine, DaemonHandle, ProtocolAdapters, settings_watch};
use crate::exit::ExitStatus;
use crate::logs;
use crate::settings::DaemonSettings;

/// Runs the daemon that the command line names, with the project's own protocols.
#[must_use]
pub fn run(line: &CommandLine) -> ExitStatus {
    run_with(line, ProtocolAdapters::open)
}

/// Runs the daemon that the command line names, with other adapters.
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
    let asked = wait_asked(terminate, interrupt);
    let ready = pin!(daemon.wait_ready());
    if let Either::Left(((), asked)) = select(ready, pin!(asked)).await {
        asked.await;
    }
    daemon.stop().await
}

async fn wait_asked(mut terminate: Signal, mut interrupt: Signal) {
    select(pin!(terminate.recv()), pin!(interrupt.recv())).await;
}

fn fail(message: &str) -> ExitStatus {
    eprintln!("wagtailtrackd: {message}");
    ExitStatus::Usage
}
