//! Answers other daemons that wait for news of the document.

use std::time::Duration;

use crate::config::config_driver::ConfigDriver;
use crate::wire::{WatchReply, WatchRequest};

/// Shortest interval between two messages that tell of a reply held back.
const MIN_HELD_INTERVAL: Duration = Duration::from_millis(50);

/// Waits until this daemon knows more than `request` says, and returns what it knows. Calls `held` at
/// the interval that the request states; returns none once that fails, as when the caller is gone.
pub(super) async fn serve(
    driver: &ConfigDriver,
    request: WatchRequest,
    mut held: impl AsyncFnMut() -> bool,
) -> Option<WatchReply> {
    let clock = driver.sources.clock;
    let start = clock.now();
    let end = start.after(Duration::from_micros(request.wait_micros));
    let interval = Duration::from_micros(request.held_interval_micros).max(MIN_HELD_INTERVAL);
    let mut held_at = start.after(interval);
    loop {
        let changed = driver.changed.notified();
        let reply = watch_reply(driver);
        let now = clock.now();
        if has_news(&reply, &request) || end.has_passed(now) {
            return Some(reply);
        }
        if held_at.has_passed(now) {
            held_at = now.after(interval);
            if !held().await {
                return None;
            }
        }
        // The timeout only ends the wait; the loop answers with what is known by then.
        let span = end.min(held_at).remaining(now);
        let _ = actix_rt::time::timeout(span, changed).await;
    }
}

fn watch_reply(driver: &ConfigDriver) -> WatchReply {
    let now = driver.sources.clock.now();
    let follower = driver.follower.borrow();
    let age = follower.lease().confirmation_age(now);
    WatchReply {
        boot: driver.sources.boot,
        clock_micros: now.micros(),
        revision: follower.is_loaded().then(|| follower.catalog().revision()),
        age_micros: age.and_then(|age| u64::try_from(age.as_micros()).ok()),
        store_lost: driver.store_lost.get(),
        evacuations: driver.evacuations.report(now),
    }
}

fn has_news(reply: &WatchReply, request: &WatchRequest) -> bool {
    if reply.revision > request.have || (reply.store_lost && !request.store_lost) {
        return true;
    }
    if let Some(evacuations) = &reply.evacuations
        && evacuations.is_news_to(request.evacuations)
    {
        return true;
    }
    let confirmed = reply.age_micros.map(|age| reply.clock_micros - age);
    match request.boot == reply.boot {
        true => confirmed > request.confirmed_micros,
        false => confirmed.is_some(),
    }
}
