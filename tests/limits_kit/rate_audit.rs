//! Records every request and its outcome, and checks them against the rate limit.

use wagtailtrack::resource::RateLimit;

const PARTS_PER_TOKEN: u64 = 1_000_000_000;

#[derive(Debug, Clone, Copy)]
struct AuditedRequest {
    account: usize,
    arrived: u64,
    admitted: Option<u64>,
    refused: bool,
    given_back: bool,
}

/// Every request and its outcome. Times are true time in microseconds, not node clocks.
#[derive(Debug, Default)]
pub struct RateAudit {
    requests: Vec<AuditedRequest>,
    /// Account and time of each admission.
    admission_times: Vec<(usize, u64)>,
}

impl RateAudit {
    pub fn request(&mut self, account: usize, now: u64) -> usize {
        self.requests.push(AuditedRequest {
            account,
            arrived: now,
            admitted: None,
            refused: false,
            given_back: false,
        });
        self.requests.len() - 1
    }

    pub fn admit(&mut self, request: usize, now: u64) -> usize {
        self.requests[request].admitted = Some(now);
        let account = self.requests[request].account;
        self.admission_times.push((account, now));
        request
    }

    pub fn refuse(&mut self, request: usize) {
        self.requests[request].refused = true;
    }

    /// Records that the token was given back because the request provably did not run.
    pub fn give_back(&mut self, request: usize) {
        self.requests[request].admitted = None;
        self.requests[request].given_back = true;
    }

    /// Number of requests of `account` that arrived in `span`: all, admitted and refused. Those
    /// whose token was given back count as admitted.
    pub fn counts(&self, account: usize, span: std::ops::Range<u64>) -> [usize; 3] {
        let arrived = || {
            let requests = self.requests.iter();
            requests.filter(|one| one.account == account && span.contains(&one.arrived))
        };
        let admitted = arrived()
            .filter(|one| one.admitted.is_some() || one.given_back)
            .count();
        let refused = arrived().filter(|one| one.refused).count();
        [arrived().count(), admitted, refused]
    }

    /// Number of admissions of `account` in `span`, including those whose token was given back.
    pub fn admissions(&self, account: usize, span: std::ops::Range<u64>) -> usize {
        let times = &self.admission_times[..];
        let inside = times
            .iter()
            .filter(|(of, at)| *of == account && span.contains(at));
        inside.count()
    }

    /// Number of requests of `account` that arrived in `span` and that a single central token
    /// bucket would admit.
    pub fn ideal(&self, account: usize, limit: &RateLimit, span: std::ops::Range<u64>) -> usize {
        let burst = u64::from(limit.burst.get()) * PARTS_PER_TOKEN;
        let (mut level, mut last, mut admitted) = (burst, 0, 0);
        for request in self.requests.iter().filter(|one| one.account == account) {
            let accrued = (request.arrived - last) * limit.rate.milli_per_second();
            level = burst.min(level + accrued);
            last = request.arrived;
            if level >= PARTS_PER_TOKEN {
                level -= PARTS_PER_TOKEN;
                admitted += usize::from(span.contains(&request.arrived));
            }
        }
        admitted
    }

    /// Largest excess of the admissions of `account` over burst + rate * t in any time window, in
    /// parts of a token. Exact: replays the admissions against a token bucket.
    pub fn excess(&self, account: usize, limit: &RateLimit) -> u64 {
        let requests = self.requests.iter().filter(|one| one.account == account);
        let mut times: Vec<u64> = requests.filter_map(|one| one.admitted).collect();
        times.sort_unstable();
        let burst = i128::from(limit.burst.get()) * i128::from(PARTS_PER_TOKEN);
        let rate = i128::from(limit.rate.milli_per_second());
        let (mut level, mut last, mut worst) = (burst, 0, 0);
        for time in times {
            level = burst.min(level + i128::from(time - last) * rate);
            level -= i128::from(PARTS_PER_TOKEN);
            worst = worst.max(-level);
            last = time;
        }
        u64::try_from(worst).unwrap()
    }
}
