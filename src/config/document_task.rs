//! Drives a `DocumentWatcher`.

use std::cell::RefCell;
use std::rc::Rc;

use crate::config::config_driver::ConfigDriver;
use crate::config::{
    Catalog, ConfigDocument, DocumentSource, DocumentWatcher, WatchResponse, WatcherStep,
    WatcherUpdate,
};
use crate::logs::part;
use crate::platform::PlatformError;
use crate::time::MonoTime;

/// Follows `feed` for as long as the daemon runs.
pub(super) async fn run(driver: Rc<ConfigDriver>, feed: Rc<dyn DocumentSource>) {
    let clock = driver.sources.clock;
    let lease = driver.follower.borrow().lease_duration();
    let follower = RefCell::new(DocumentWatcher::open(lease, clock.now()));
    let mut rng = fastrand::Rng::new();
    loop {
        let sent = clock.now();
        let step = follower.borrow().next(sent);
        let answer = match step {
            WatcherStep::Pause(until) => {
                actix_rt::time::sleep(until.remaining(sent)).await;
                continue;
            }
            WatcherStep::Read => feed.read().await.map(WatchResponse::Reading),
            WatcherStep::Watch(position, wait) => feed.watch(position, wait).await,
        };
        let failures = follower.borrow().failures();
        log_answer(&answer, failures);
        let now = clock.now();
        let finding = follower.borrow_mut().answered(sent, now, answer, &mut rng);
        if let Some(finding) = finding {
            take(&driver, finding, now);
        }
    }
}

/// One line when the store is lost, and one when it is back.
fn log_answer(answer: &Result<WatchResponse, PlatformError>, failures: u32) {
    match answer {
        Err(cause) if failures == 0 => {
            log::warn!(target: part::CONFIG, cause:%; "Configuration store does not answer.");
        }
        Ok(WatchResponse::Reading(_)) if failures > 0 => {
            log::info!(target: part::CONFIG, failures; "Configuration store answers again.");
        }
        Ok(WatchResponse::HistoryLost) => {
            log::info!(target: part::CONFIG, "Configuration store lost its history, reading anew.");
        }
        Ok(WatchResponse::Reading(_)) | Err(_) => {}
    }
}

fn take(driver: &ConfigDriver, finding: WatcherUpdate, now: MonoTime) {
    if let Some(cause) = finding.unusable {
        log::error!(target: part::CONFIG, cause; "New configuration cannot be used, the one before stays in force.");
    }
    if let Some(document) = finding.document {
        put_in_force(driver, document);
    }
    if let Some(time) = finding.confirmed {
        driver.follower.borrow_mut().confirm(time, now);
    }
}

fn put_in_force(driver: &ConfigDriver, document: ConfigDocument) {
    let mut follower = driver.follower.borrow_mut();
    let revision = document.revision;
    if follower.is_loaded() && revision <= follower.catalog().revision() {
        log::debug!(target: part::CONFIG, revision:%; "Configuration is not newer, dropped.");
        return;
    }
    let catalog = Catalog::from_resources(revision, document.resources);
    let [accounts, keys, routes, services] = catalog.resource_counts();
    follower.snapshot_read(Some(catalog));
    log::info!(target: part::CONFIG, revision:%, accounts, keys, routes, services; "Configuration in force.");
}
