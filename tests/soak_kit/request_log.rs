//! What callers were told of their requests, and the checks against what the instances ran.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::time::Instant;

use crate::common::{CallerAnswer, CallerError, DeskFleet};

/// What a caller was told of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallerOutcome {
    /// The verdict and the status of a whole answer.
    Answered(String, u16),
    /// There was no whole answer.
    Interrupted(String),
}

/// A request and what its caller was told.
#[derive(Debug)]
pub struct LoggedRequest {
    /// Whether it is a filing, which runs once at most.
    pub is_filing: bool,
    /// What the caller was told.
    pub outcome: CallerOutcome,
    /// Whether the daemon that accepted the request was killed or frozen while it was open.
    pub is_disturbed: bool,
}

impl LoggedRequest {
    /// What is wrong with the outcome of a request that ran `times` times; none if nothing is.
    pub fn finding(&self, times: usize) -> Option<String> {
        if self.is_filing && times > 1 {
            return Some("a filing runs once at most".to_owned());
        }
        match &self.outcome {
            CallerOutcome::Answered(verdict, _) if verdict == "not-run" && times > 0 => {
                Some("reported as not run".to_owned())
            }
            CallerOutcome::Answered(_, 200..=299) if times == 0 => Some("served".to_owned()),
            CallerOutcome::Interrupted(cause) if !self.is_disturbed && times > 0 => {
                Some(format!("interrupted without a fault: {cause}"))
            }
            CallerOutcome::Answered(..) | CallerOutcome::Interrupted(_) => None,
        }
    }
}

/// The requests of all callers, by tag.
#[derive(Default)]
pub struct RequestLog {
    requests: RefCell<BTreeMap<String, LoggedRequest>>,
    findings: RefCell<Vec<String>>,
    /// When the withdrawn key must be refused everywhere; none while it is valid.
    pub key_ends: Cell<Option<Instant>>,
}

impl RequestLog {
    /// Records the answer to a request that was sent at `sent`.
    pub fn record(
        &self,
        tag: &str,
        is_filing: bool,
        is_disturbed: bool,
        answer: Result<CallerAnswer, CallerError>,
    ) {
        let outcome = match answer {
            Ok(answer) => {
                let body = if is_filing { tag.as_bytes() } else { b"" };
                if answer.status.is_success() && !answer.answers(tag, body) {
                    self.find(format!("{tag} got the answer to another request"));
                }
                CallerOutcome::Answered(answer.verdict().to_owned(), answer.status.as_u16())
            }
            Err(cause) => CallerOutcome::Interrupted(cause),
        };
        let request = LoggedRequest {
            is_filing,
            outcome,
            is_disturbed,
        };
        self.requests.borrow_mut().insert(tag.to_owned(), request);
    }

    /// Records a request with the withdrawn key that was sent at `sent`.
    pub fn record_withdrawn(&self, sent: Instant, answer: &CallerAnswer) {
        let is_over = self.key_ends.get().is_some_and(|end| sent > end);
        if is_over && answer.status.is_success() {
            self.find("a request with a withdrawn key was served".to_owned());
        }
    }

    /// Number of requests that were served.
    pub fn served(&self) -> usize {
        let requests = self.requests.borrow();
        let is_served = |request: &&LoggedRequest| {
            matches!(&request.outcome, CallerOutcome::Answered(_, 200..=299))
        };
        requests.values().filter(is_served).count()
    }

    /// Number of requests.
    pub fn total(&self) -> usize {
        self.requests.borrow().len()
    }

    /// Compares what callers were told with what the instances ran, and returns all findings.
    pub async fn findings(&self, desk: &DeskFleet) -> Vec<String> {
        let mut runs: BTreeMap<String, usize> = BTreeMap::new();
        for backend in &desk.fleet.backends {
            for request in backend.ran().await {
                *runs.entry(request.tag).or_default() += 1;
            }
        }
        for (tag, request) in self.requests.borrow().iter() {
            let times = runs.get(tag).copied().unwrap_or_default();
            if let Some(finding) = request.finding(times) {
                self.find(format!("{tag} ran {times} times: {finding}"));
            }
        }
        self.findings.borrow().clone()
    }

    fn find(&self, finding: String) {
        self.findings.borrow_mut().push(finding);
    }
}
