//! Waits for a termination signal.

use std::io;

use tokio::signal::unix::{SignalKind, signal};

/// Returns when the process receives SIGTERM or SIGINT.
///
/// # Errors
/// Any I/O error of installing the signal handlers.
pub async fn wait() -> io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
