//! Tests of `AttemptHistory`: when an offer may wait in a queue, and what failed attempts prove.

use std::time::Duration;

use wagtailtrack::execution_verdict::ExecutionVerdict;
use wagtailtrack::ingress::{AttemptFailure, AttemptHistory};
use wagtailtrack::wire::RefusalReason;

fn busy() -> AttemptFailure {
    AttemptFailure {
        verdict: ExecutionVerdict::NotRun,
        reason: Some(RefusalReason::Busy),
        cause: None,
        retry_after: Duration::ZERO,
    }
}

/// Guards against a request that waits in the queue of a busy instance while another one has a free
/// slot. The first offers do not wait; once no other instance is left, or enough were busy, the
/// next offer may wait.
#[test]
fn waits_only_after_busy_offers() {
    let mut history = AttemptHistory::default();
    assert!(!history.may_wait());
    history.record_attempt("desk-1".parse().unwrap());
    history.record_failure(&"desk-1".parse().unwrap(), busy());
    assert!(!history.may_wait() && history.allows_retry(ExecutionVerdict::NotRun, false));
    assert!(
        history.retry_busy(),
        "one busy instance must be eligible again"
    );
    assert!(history.tried().is_empty() && history.may_wait());
    assert!(!history.retry_busy());
    let mut history = AttemptHistory::default();
    for instance in ["desk-1", "desk-2"] {
        history.record_attempt(instance.parse().unwrap());
        history.record_failure(&instance.parse().unwrap(), busy());
    }
    assert!(history.may_wait());
}

/// Guards against a false "not run": a request may have run at its first instance and is then
/// refused by a second one. The refusal must still say that it may have run.
#[test]
fn possible_run_outlasts_refusal() {
    let mut history = AttemptHistory::default();
    history.record_attempt("desk-1".parse().unwrap());
    history.record_failure(
        &"desk-1".parse().unwrap(),
        AttemptFailure {
            verdict: ExecutionVerdict::MayHaveRun,
            reason: None,
            ..busy()
        },
    );
    history.record_attempt("desk-2".parse().unwrap());
    history.record_failure(&"desk-2".parse().unwrap(), busy());
    assert_eq!(
        history.refusal(false).verdict(),
        ExecutionVerdict::MayHaveRun
    );
}

/// A request whose time ends before an instance starts it has not run, and its answer says so: after
/// 503 a caller may send it again, after 504 it may not.
#[test]
fn deadline_before_start() {
    let mut history = AttemptHistory::default();
    history.record_attempt("desk-1".parse().unwrap());
    history.record_failure(&"desk-1".parse().unwrap(), busy());
    let refusal = history.refusal(true);
    assert_eq!(refusal.verdict(), ExecutionVerdict::NotRun);
    assert_eq!(refusal.status().as_u16(), 503);
    assert!(refusal.retry_after().is_some());
}
