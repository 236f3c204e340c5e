//! Callers of one daemon that go on whatever happens to it.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use awc::http::Method;
use fastrand::Rng;

use super::fault_series::SoakDaemon;
use super::kept_connection::KeptConnection;
use super::request_log::{LoggedRequest, RequestLog};
use crate::common::{CallerAnswer, CallerError};

/// Deadline of a request.
const DEADLINE: Duration = Duration::from_secs(3);
/// Deadline of a request whose work is long.
const LONG_DEADLINE: Duration = Duration::from_secs(6);
/// One request in this many has long work; more would raise the median of all.
const LONG_SHARE: u32 = 7;
/// Work of a long request, in milliseconds: longer than 20 medians of 20 ms.
const LONG_WORK_MILLIS: std::ops::Range<u64> = 500..2_500;
/// Deadline of a response that is read slowly, so that it is read before the end of a shutdown.
const SLOW_DEADLINE: Duration = Duration::from_millis(1_500);
/// Length of a response that is read slowly; daemons hold it whole.
const SLOW_BYTES: usize = 240_000;
const PAUSE: Duration = Duration::from_millis(5);
/// Pause after a request without an answer, as while a daemon is away.
const LONG_PAUSE: Duration = Duration::from_millis(50);

/// One caller.
pub struct SoakCaller {
    /// The daemon that it calls, and its position in the fleet.
    pub daemon: Rc<SoakDaemon>,
    pub index: usize,
    pub name: String,
    pub secret: String,
    pub log: Rc<RequestLog>,
    pub rng: Rng,
    /// Ends the caller.
    pub is_over: Rc<Cell<bool>>,
}

impl SoakCaller {
    /// Sends lookups and filings over kept connections; some have long work.
    pub async fn keep_sending(mut self) {
        let caller = self.daemon.process.borrow().caller();
        let caller = caller.with_key(&self.secret);
        let mut number = 0;
        while !self.is_over.get() {
            number += 1;
            let (work, deadline) = match self.rng.u32(0..LONG_SHARE) {
                0 => (self.rng.u64(LONG_WORK_MILLIS), LONG_DEADLINE),
                _ => (0, DEADLINE),
            };
            let query = match work {
                0 => String::new(),
                work => format!("?work={work}"),
            };
            let millis = deadline.as_millis().to_string();
            let caller = caller.clone().with_header("x-deadline-ms", &millis);
            let tag = format!("{}-{number}", self.name);
            let (method, target, body) = match number % 2 {
                0 => (Method::POST, format!("/filings{query}"), tag.as_str()),
                _ => (Method::GET, format!("/lookups/1{query}"), ""),
            };
            let begun = self.begin();
            let answer = caller.send(method, &target, &tag, body.as_bytes()).await;
            let pause = if answer.is_ok() { PAUSE } else { LONG_PAUSE };
            let work = Duration::from_millis(work);
            self.record(&tag, !body.is_empty(), work, begun, deadline, answer);
            actix_rt::time::sleep(pause).await;
        }
    }

    /// Reads responses slowly, and keeps a connection that the daemon closes until that has exited.
    pub async fn keep_reading(mut self) {
        let address = self.daemon.process.borrow().callers();
        let authorization = format!("Bearer {}", self.secret);
        let millis = SLOW_DEADLINE.as_millis().to_string();
        let target = format!("/extracts/1?bytes={SLOW_BYTES}");
        let mut kept = None;
        let mut number = 0;
        while !self.is_over.get() {
            actix_rt::time::sleep(PAUSE * self.rng.u32(1..40)).await;
            let mut connection = match kept.take() {
                Some(connection) => connection,
                None => match KeptConnection::open(address).await {
                    Ok(connection) => connection,
                    Err(_) => continue,
                },
            };
            number += 1;
            let tag = format!("{}-{number}", self.name);
            let headers = [
                ("authorization", authorization.as_str()),
                ("x-deadline-ms", &millis),
                ("x-tag", &tag),
            ];
            let begun = self.begin();
            let answer = connection.get(&target, &headers).await;
            let closes = answer.as_ref().is_ok_and(|(_, closes)| *closes);
            let is_whole = answer.is_ok();
            let answer = answer.map(|(answer, _)| answer);
            self.record(&tag, false, Duration::ZERO, begun, SLOW_DEADLINE, answer);
            while closes && self.daemon.stops.is_stopping() {
                actix_rt::time::sleep(PAUSE).await;
            }
            kept = (is_whole && !closes).then_some(connection);
        }
    }

    /// The time, and the number of faults of the daemon so far.
    fn begin(&self) -> (Instant, u64) {
        (Instant::now(), self.daemon.disturbances.get())
    }

    fn record(
        &self,
        tag: &str,
        is_filing: bool,
        work: Duration,
        (sent, faults): (Instant, u64),
        deadline: Duration,
        answer: Result<CallerAnswer, CallerError>,
    ) {
        // An odd count means that a fault is in progress.
        let is_disturbed = faults % 2 == 1 || faults != self.daemon.disturbances.get();
        let outcome = self.log.outcome(tag, is_filing, answer);
        let request = LoggedRequest {
            is_filing,
            outcome,
            is_disturbed,
            ingress: self.index,
            work,
            sent,
            answered: Instant::now(),
            deadline: sent + deadline,
        };
        self.log.record(tag, request);
    }
}
