//! What several attempts at one request prove together.

use std::time::Duration;

use wagtailtrack::ingress::{AttemptFailure, AttemptHistory};
use wagtailtrack::verdict::Verdict;
use wagtailtrack::wire::RefusalReason;

fn busy() -> AttemptFailure {
    AttemptFailure {
        verdict: Verdict::NotRun,
        reason: Some(RefusalReason::Busy),
        cause: None,
        retry_after: Duration::ZERO,
    }
}

/// Busy instances are only glanced at, and asked again to wait when no other is left.
#[test]
fn glances_then_waits() {
    let mut history = AttemptHistory::default();
    assert!(!history.may_wait());
    history.record_attempt("desk-1".parse().unwrap());
    history.record_failure(busy());
    assert!(!history.may_wait() && history.allows_retry(Verdict::NotRun, false));
    assert!(history.retry_busy(), "one busy instance may be asked again");
    assert!(history.tried().is_empty() && history.may_wait());
    assert!(!history.retry_busy());
    let mut history = AttemptHistory::default();
    for instance in ["desk-1", "desk-2"] {
        history.record_attempt(instance.parse().unwrap());
        history.record_failure(busy());
    }
    assert!(history.may_wait());
}

/// An attempt that may have run is not hidden by a later one that was refused.
#[test]
fn worst_verdict_stays() {
    let mut history = AttemptHistory::default();
    history.record_attempt("desk-1".parse().unwrap());
    history.record_failure(AttemptFailure {
        verdict: Verdict::MayHaveRun,
        reason: None,
        ..busy()
    });
    history.record_attempt("desk-2".parse().unwrap());
    history.record_failure(busy());
    assert_eq!(history.refusal(false).verdict(), Verdict::MayHaveRun);
}
