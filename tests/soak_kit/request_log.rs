//! What callers were told of their requests, and the checks against what the instances ran.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime};

use super::fault_series::SoakDaemon;
use super::stop_times::StopTimes;
use crate::common::{CallerAnswer, CallerError, DeskFleet};

/// Time for a response from the end of its work to the caller.
const DELIVERY: Duration = Duration::from_millis(100);

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
    /// Position of the daemon that accepted it.
    pub ingress: usize,
    /// The work that it asked for; zero if the instance decides.
    pub work: Duration,
    /// When the caller sent it, got the outcome, and how long it could wait.
    pub sent: Instant,
    pub answered: Instant,
    pub deadline: Instant,
}

/// A run of a request at the instance beside the daemon at position `index`.
#[derive(Debug, Clone, Copy)]
pub struct RunSpan {
    pub index: usize,
    pub start: Instant,
    /// When its work ends, unless it is cancelled.
    pub end: Instant,
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

    fn is_error(&self) -> bool {
        matches!(&self.outcome, CallerOutcome::Answered(_, 502 | 504))
    }

    /// The outcome, the runs and the stops of the daemons on their way, in milliseconds from when it was sent.
    fn account(&self, runs: &[RunSpan], stops: &[&StopTimes]) -> String {
        let millis = |at: Instant| match at.checked_duration_since(self.sent) {
            Some(after) => i128::try_from(after.as_millis()).unwrap(),
            None => -i128::try_from((self.sent - at).as_millis()).unwrap(),
        };
        let sent = SystemTime::now() - self.sent.elapsed();
        let sent = sent.duration_since(SystemTime::UNIX_EPOCH).unwrap();
        let mut text = format!(
            "{:?} at {}, deadline {}, sent {} s through d{} (stops {:?})",
            self.outcome,
            millis(self.answered),
            millis(self.deadline),
            sent.as_secs_f64(),
            self.ingress + 1,
            stops[self.ingress].map(self.sent, millis)
        );
        for run in runs {
            let index = run.index;
            let (start, end) = (millis(run.start), millis(run.end));
            let stops = stops[index].map(self.sent, millis);
            text += &format!("; at d{} {start} to {end} (stops {stops:?})", index + 1);
        }
        text
    }

    /// Whether a request that only planned stops touched lost the response of an instance. The condition: 502 or
    /// 504, though the work of one of its runs ends before the deadline and before the last sixth of the stops of
    /// the daemon that accepted it and of the one beside that instance.
    ///
    /// An instance that is told too little time answers 504 itself, which counts too. Without any run, an answer
    /// before the deadline counts if work that began when the request was sent would have ended in time.
    pub fn is_lost(&self, runs: &[RunSpan], stops: &[&StopTimes]) -> bool {
        let unrun = RunSpan {
            index: self.ingress,
            start: self.sent,
            end: self.sent + self.work,
        };
        let could_end = |run: &RunSpan| {
            let allow = |index: usize| stops[index].allow(self.sent, run.start, run.end);
            run.end + DELIVERY < self.deadline && allow(self.ingress) && allow(run.index)
        };
        self.is_error()
            && match runs {
                [] => self.answered < self.deadline && could_end(&unrun),
                runs => runs.iter().any(could_end),
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
    /// What the caller of the request `tag` was told.
    pub fn outcome(
        &self,
        tag: &str,
        is_filing: bool,
        answer: Result<CallerAnswer, CallerError>,
    ) -> CallerOutcome {
        match answer {
            Ok(answer) => {
                let body = if is_filing { tag.as_bytes() } else { b"" };
                if answer.status.is_success() && !answer.answers(tag, body) {
                    self.find(format!("{tag} got the answer to another request"));
                }
                CallerOutcome::Answered(answer.verdict().to_owned(), answer.status.as_u16())
            }
            Err(cause) => CallerOutcome::Interrupted(cause),
        }
    }

    /// Records a request.
    pub fn record(&self, tag: &str, request: LoggedRequest) {
        self.requests.borrow_mut().insert(tag.to_owned(), request);
    }

    /// Records a request with the withdrawn key that was sent at `sent`.
    pub fn record_withdrawn(&self, sent: Instant, answer: &CallerAnswer) {
        let is_over = self.key_ends.get().is_some_and(|end| sent > end);
        if is_over && answer.status.is_success() {
            self.find("a request with a withdrawn key was served".to_owned());
        }
    }

    /// Number of requests by length of the work, status and verdict.
    pub fn outcomes(&self) -> BTreeMap<String, usize> {
        let mut counts = BTreeMap::new();
        for request in self.requests.borrow().values() {
            let work = if request.work.is_zero() { "" } else { "long " };
            let outcome = match &request.outcome {
                CallerOutcome::Answered(verdict, status) => format!("{work}{status} {verdict}"),
                CallerOutcome::Interrupted(cause) => format!("{work}{cause}"),
            };
            *counts.entry(outcome).or_default() += 1;
        }
        counts
    }

    /// Compares what callers were told with what the instances ran, and returns all findings. Losses are findings
    /// if there were no faults but planned stops.
    pub async fn findings(
        &self,
        desk: &DeskFleet,
        daemons: &[Rc<SoakDaemon>],
        only_stops: bool,
    ) -> Vec<String> {
        let mut runs: BTreeMap<String, Vec<RunSpan>> = BTreeMap::new();
        let now = (Instant::now(), SystemTime::now());
        for (index, backend) in desk.fleet.backends.iter().enumerate() {
            for run in backend.ran().await {
                let started = SystemTime::UNIX_EPOCH + Duration::from_millis(run.started_ms);
                let start = now.0 - now.1.duration_since(started).unwrap_or_default();
                let end = start + Duration::from_millis(run.work_ms);
                let span = RunSpan { index, start, end };
                runs.entry(run.tag).or_default().push(span);
            }
        }
        let stops: Vec<&StopTimes> = daemons.iter().map(|daemon| &daemon.stops).collect();
        for (tag, request) in self.requests.borrow().iter() {
            let runs = runs.get(tag).map_or(&[][..], Vec::as_slice);
            let times = runs.len();
            if let Some(finding) = request.finding(times) {
                self.find(format!("{tag} ran {times} times: {finding}"));
            }
            if only_stops && request.is_lost(runs, &stops) {
                self.find(format!("{tag} lost: {}", request.account(runs, &stops)));
            } else if only_stops && request.is_error() {
                eprintln!("{tag} allowed: {}", request.account(runs, &stops));
            }
        }
        for daemon in daemons.iter().filter(|daemon| daemon.overruns.get() > 0) {
            let name = &daemon.process.borrow().plan.daemon;
            let count = daemon.overruns.get();
            self.find(format!("{name} overran {count} stops"));
        }
        self.findings.borrow().clone()
    }

    fn find(&self, finding: String) {
        self.findings.borrow_mut().push(finding);
    }
}
