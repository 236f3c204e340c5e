//! Waits for the signal to stop.

use std::io;

use tokio::signal::unix::{SignalKind, signal};

/// Returns when the process is asked to stop.
pub async fn wait() -> io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
