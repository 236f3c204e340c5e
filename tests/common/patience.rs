//! Waiting for a condition, generously.

use std::time::{Duration, Instant};

/// How long a condition may take before the test fails.
pub const PATIENCE: Duration = Duration::from_secs(60);
const POLL: Duration = Duration::from_millis(20);

/// Polls `condition` until it holds; panics with `what` when it never does.
pub async fn eventually<F: AsyncFnMut() -> bool>(what: &str, mut condition: F) {
    let begun = Instant::now();
    while !condition().await {
        assert!(begun.elapsed() < PATIENCE, "never came: {what}");
        actix_rt::time::sleep(POLL).await;
    }
}
