//! Reloads the settings file on SIGHUP or when its modification time changes.

use std::path::PathBuf;
use std::pin::pin;
use std::time::{Duration, SystemTime};

use futures_util::future::select;
use tokio::signal::unix::Signal;

use crate::logs::log_target;
use crate::settings::DaemonSettings;

/// Interval at which the modification time of the file is polled.
const POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Watches the file at `path` for as long as the daemon runs.
///
/// A new log level applies at once. Other changed fields are logged and take effect after a restart,
/// since listeners, names and leases cannot change while requests run. An invalid file changes
/// nothing.
pub(super) async fn run(path: PathBuf, mut settings: DaemonSettings, mut hangup: Signal) {
    let mut modified = modified_at(&path);
    loop {
        let poll = pin!(actix_rt::time::sleep(POLL_INTERVAL));
        let is_signaled = matches!(
            select(pin!(hangup.recv()), poll).await,
            futures_util::future::Either::Left(_)
        );
        let newest = modified_at(&path);
        if !is_signaled && newest == modified {
            continue;
        }
        modified = newest;
        match DaemonSettings::open(&path) {
            Ok(read) => settings = apply_reload(settings, read),
            Err(cause) => {
                log::error!(target: log_target::DAEMON, cause:%; "Settings cannot be used, the previous settings stay in force.");
            }
        }
    }
}

/// Applies the log level of `read` and keeps all other fields of `before`.
fn apply_reload(before: DaemonSettings, read: DaemonSettings) -> DaemonSettings {
    let changed = before.changed_fields(&read);
    log::set_max_level(read.log_level);
    if changed.is_empty() {
        log::info!(target: log_target::DAEMON, log_level:% = read.log_level; "Settings reloaded.");
    } else {
        let fields = changed.join(", ");
        log::warn!(target: log_target::DAEMON, log_level:% = read.log_level, fields; "Settings reloaded; these fields take effect after a restart.");
    }
    DaemonSettings {
        log_level: read.log_level,
        ..before
    }
}

/// Modification time of the file, or `None` if it cannot be read. A switch between the two counts
/// as a change.
fn modified_at(path: &PathBuf) -> Option<SystemTime> {
    std::fs::metadata(path)
        .and_then(|found| found.modified())
        .ok()
}
