//! A table of suspected requests that stays empty.

use std::time::Duration;

use wagtailtrack::crashes::{CrashRules, SuspectsHandle};
use wagtailtrack::time::ProcessClock;

/// A table for tests in which no instance ends.
pub fn no_suspects() -> SuspectsHandle {
    let rules = CrashRules {
        limit: 0,
        hold: Duration::ZERO,
    };
    SuspectsHandle::open(rules, ProcessClock::open())
}
