//! Rereads the settings when they change.

use std::path::PathBuf;
use std::pin::pin;
use std::time::{Duration, SystemTime};

use futures_util::future::select;
use tokio::signal::unix::Signal;

use crate::logs::part;
use crate::settings::DaemonSettings;

/// How often the file is looked at, for changes that come without a signal.
const LOOK_INTERVAL: Duration = Duration::from_secs(2);

/// Watches the file at `path` for as long as the daemon runs.
///
/// The level of the log changes at once; what else has changed is named and waits for a restart,
/// since listeners, names and leases cannot change under requests. A file that cannot be used
/// leaves all as it is.
pub(super) async fn run(path: PathBuf, mut settings: DaemonSettings, mut hangup: Signal) {
    let mut written = written_at(&path);
    loop {
        let look = pin!(actix_rt::time::sleep(LOOK_INTERVAL));
        let is_asked = matches!(
            select(pin!(hangup.recv()), look).await,
            futures_util::future::Either::Left(_)
        );
        let newest = written_at(&path);
        if !is_asked && newest == written {
            continue;
        }
        written = newest;
        match DaemonSettings::open(&path) {
            Ok(read) => settings = take(settings, read),
            Err(cause) => {
                log::error!(target: part::DAEMON, cause:%; "Settings cannot be used, those before stay in force.");
            }
        }
    }
}

fn take(before: DaemonSettings, read: DaemonSettings) -> DaemonSettings {
    let waiting = before.changed_fields(&read);
    log::set_max_level(read.log_level);
    if waiting.is_empty() {
        log::info!(target: part::DAEMON, log_level:% = read.log_level; "Settings read again.");
    } else {
        let fields = waiting.join(", ");
        log::warn!(target: part::DAEMON, log_level:% = read.log_level, fields; "Settings read again; these fields take effect after a restart.");
    }
    DaemonSettings {
        log_level: read.log_level,
        ..before
    }
}

/// When the file was written; none when it cannot be looked at, which counts as a change.
fn written_at(path: &PathBuf) -> Option<SystemTime> {
    std::fs::metadata(path)
        .and_then(|found| found.modified())
        .ok()
}
