//! Tests of `OverdueRule`: when an attempt gets a backup beside it.

use std::time::Duration;

use wagtailtrack::ingress::OverdueRule;
use wagtailtrack::time::MonoTime;

const NOW: MonoTime = MonoTime::from_millis(1_000);

/// Returns after how many milliseconds an attempt with 8 s left is overdue.
fn overdue_after(usual_millis: Option<u64>, is_bulk: bool, wait_millis: u64) -> u128 {
    let rule = OverdueRule {
        is_bulk,
        usual_time: usual_millis.map(Duration::from_millis),
        wait: Duration::from_millis(wait_millis),
    };
    let deadline = NOW.after(Duration::from_secs(8));
    rule.overdue_at(NOW, deadline).remaining(NOW).as_millis()
}

/// Guards against backups of requests that are at work as long as is usual, and against one that comes so late
/// that it cannot end in time.
#[test]
fn long_work_waits() {
    assert_eq!(overdue_after(Some(100), false, 0), 2_000);
    assert_eq!(overdue_after(Some(370), false, 0), 4_000);
    assert_eq!(overdue_after(None, false, 0), 4_000);
}

/// Guards against backups because a daemon pauses for a moment, and because a request waits in a queue for as
/// long as its offer permits.
#[test]
fn short_work_waits() {
    assert_eq!(overdue_after(Some(1), false, 0), 250);
    assert_eq!(overdue_after(Some(1), false, 300), 550);
}

/// Guards against second copies of large responses while the first is on its way.
#[test]
fn bulk_waits_longest() {
    assert_eq!(overdue_after(Some(1), true, 0), 4_000);
}
