//! Guards against retry storms: retries stay within a share of first attempts.

use std::time::Duration;

use wagtailtrack::ids::ServiceId;
use wagtailtrack::retry::{BudgetScope, CallRates, RetryBudget, ServiceBudgets};
use wagtailtrack::time::MonoTime;
use wagtailtrack::units::Percent;
use wagtailtrack::wire::CallRate;

fn share(value: u8) -> Percent {
    Percent::new(value).unwrap()
}

fn retries_granted(budget: &mut RetryBudget, asked: u32, now: MonoTime) -> u32 {
    let granted = (0..asked).filter(|_| budget.try_retry(now));
    u32::try_from(granted.count()).unwrap()
}

#[test]
fn share_of_attempts() {
    let mut budget = RetryBudget::open(share(10));
    let now = MonoTime::from_millis(1);
    for _ in 0..1_000 {
        budget.record_attempt(now);
    }
    assert_eq!(retries_granted(&mut budget, 1_000, now), 103);
}

#[test]
fn reserve_alone() {
    let mut budget = RetryBudget::open(share(10));
    assert_eq!(
        retries_granted(&mut budget, 10, MonoTime::from_millis(1)),
        3
    );
}

#[test]
fn unused_retries_expire() {
    let mut budget = RetryBudget::open(share(10));
    for _ in 0..10_000 {
        budget.record_attempt(MonoTime::ZERO);
    }
    let later = MonoTime::ZERO + Duration::from_secs(60);
    assert!(retries_granted(&mut budget, 1_000, later) <= 4);
}

#[test]
fn zero_share() {
    let mut budget = RetryBudget::open(share(0));
    budget.record_attempt(MonoTime::ZERO);
    assert!(!budget.try_retry(MonoTime::ZERO));
}

/// When every request of 25 daemons fails, the retries of the whole fleet stay within its limit in any
/// window of ten seconds. A restarted daemon adds only its part of the reserve.
#[test]
fn fleet_bound() {
    const DAEMONS: usize = 25;
    const RESERVE: u32 = 58;
    let mut budgets = vec![RetryBudget::open(share(20)); DAEMONS];
    let mut retries = Vec::new();
    for turn in 0..4_000_u64 {
        let now = MonoTime::from_millis(turn * 10);
        let budget = &mut budgets[usize::try_from(turn).unwrap() % DAEMONS];
        budget.set_fleet_reserve(share(20), RESERVE, DAEMONS);
        budget.record_attempt(now);
        if budget.try_retry(now) {
            retries.push(turn * 10);
        }
    }
    let attempts = 1_000.0;
    let allowed = 0.2 * attempts + f64::from(RESERVE);
    for (index, start) in retries.iter().enumerate() {
        let inside = retries[index..]
            .iter()
            .take_while(|time| **time < start + 10_000);
        let count = f64::from(u32::try_from(inside.count()).unwrap());
        assert!(count <= allowed, "{count} retries from {start} ms");
    }
    assert!(retries.len() > 300, "only {} retries", retries.len());
}

/// Trial requests use at most half of the budget and leave the rest to other retries.
#[test]
fn trials_use_half() {
    let mut budget = RetryBudget::open(share(10));
    let now = MonoTime::from_millis(1);
    for _ in 0..100 {
        budget.record_attempt(now);
    }
    let mut trials = 0;
    while budget.allows_trial(now) && budget.try_retry(now) {
        trials += 1;
    }
    assert!((4..=7).contains(&trials), "{trials} trials of 13 retries");
    assert!(budget.try_retry(now));
}

const SHARE: u8 = 20;
const RESERVE: u32 = 58;

/// Guards against calls of instances that enlarge the budget of the service that they call, so that it
/// gets more retries than its callers' requests allow. Each daemon passes on two calls for a request of
/// a caller, all fail, and the windows of the daemons do not begin together.
#[test]
fn calls_add_nothing() {
    let service: ServiceId = "called".parse().unwrap();
    for (count, seed) in [(30, 1), (100, 2), (300, 3)] {
        let mut rng = fastrand::Rng::with_seed(seed);
        let daemons = (0..count).map(|_| (ServiceBudgets::open(Some(RESERVE)), rng.u64(0..10_000)));
        let mut daemons: Vec<_> = daemons.collect();
        let (mut requests, mut retries) = (Vec::new(), Vec::new());
        // Four requests and calls a second at each daemon.
        for turn in 0..160 * count as u64 {
            let now = turn * 250 / count as u64;
            let is_call = turn % 3 > 0;
            let (budgets, ahead) = &mut daemons[rng.usize(0..count)];
            let local = MonoTime::from_millis(now + *ahead);
            let scope = BudgetScope {
                service: &service,
                share: share(SHARE),
                daemons: count,
            };
            if !is_call {
                requests.push(now);
            }
            budgets.record_attempt(&scope, is_call, local);
            if budgets.try_retry(&scope, local) {
                retries.push(now);
            }
        }
        let inside = |times: &[u64], start: u64| {
            let span = start..start + 10_000;
            let times = times.iter().filter(|time| span.contains(*time));
            f64::from(u32::try_from(times.count()).unwrap())
        };
        for start in (0..30_000).step_by(500) {
            let allowed = 0.2 * inside(&requests, start) + f64::from(RESERVE);
            let retries = inside(&retries, start);
            assert!(
                retries <= allowed,
                "{count} daemons, seed {seed}: {retries} retries from {start} ms, {allowed} allowed"
            );
        }
        assert!(retries.len() > 2 * count, "{} retries", retries.len());
    }
}

/// Without a reserve of the fleet a daemon's budget is its own, and calls count as any other request.
#[test]
fn calls_without_fleet_reserve() {
    let service: ServiceId = "called".parse().unwrap();
    let mut budgets = ServiceBudgets::open(None);
    let scope = BudgetScope {
        service: &service,
        share: share(10),
        daemons: 25,
    };
    for _ in 0..1_000 {
        budgets.record_attempt(&scope, true, MonoTime::ZERO);
    }
    let granted = (0..1_000).filter(|_| budgets.try_retry(&scope, MonoTime::ZERO));
    assert_eq!(granted.count(), 103);
}

/// Calls of a thousand runs of the calling service.
const CALLS: u16 = 900;

/// A fleet that passes on requests to a service and to another one whose instances call it. All
/// instances fail.
struct CallingFleet {
    /// Budgets of each daemon, and how far its clock is ahead, in milliseconds.
    daemons: Vec<(ServiceBudgets, u64)>,
    calling: ServiceId,
    called: ServiceId,
    rng: fastrand::Rng,
    /// Arrivals at the called service beyond the first of their requests, in milliseconds.
    repeats: Vec<u64>,
}

impl CallingFleet {
    fn open(count: usize, seed: u64) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let calling: ServiceId = "calling".parse().unwrap();
        let called: ServiceId = "called".parse().unwrap();
        let rate = CallRate {
            service: called.clone(),
            calls_per_thousand: CALLS,
        };
        let daemons = (0..count).map(|_| {
            let mut budgets = ServiceBudgets::open(Some(RESERVE));
            budgets.learn_calls(&calling, std::slice::from_ref(&rate), |_| share(SHARE));
            (budgets, rng.u64(0..10_000))
        });
        let daemons = daemons.collect();
        Self {
            daemons,
            calling,
            called,
            rng,
            repeats: Vec::new(),
        }
    }

    /// Sends one request through a daemon; its service sheds it or fails, so that it is retried while
    /// the budget allows it.
    fn send(&mut self, daemon: usize, is_calling: bool, is_call: bool, is_repeat: bool, now: u64) {
        let count = self.daemons.len();
        let service = match is_calling {
            true => self.calling.clone(),
            false => self.called.clone(),
        };
        let mut is_first = true;
        for _ in 0..2 {
            if !is_calling && (is_repeat || !is_first) {
                self.repeats.push(now);
            }
            if is_calling && self.rng.u16(0..1_000) < CALLS {
                // The call passes through the daemon beside the instance: one in five has one.
                let beside = self.rng.usize(0..count.div_ceil(5));
                self.send(beside, false, true, !is_first, now);
            }
            let (budgets, ahead) = &mut self.daemons[daemon];
            let local = MonoTime::from_millis(now + *ahead);
            let scope = BudgetScope {
                service: &service,
                share: share(SHARE),
                daemons: count,
            };
            if is_first {
                budgets.record_attempt(&scope, is_call, local);
            }
            if !is_first || !budgets.try_retry(&scope, local) {
                return;
            }
            is_first = false;
        }
    }
}

/// Guards against a service that gets more repeats than its budget allows, because calls of instances
/// enlarge it, or because the calls of repeated runs are not counted. A third of the callers' requests
/// go to the service itself, and the windows of the daemons do not begin together.
#[test]
fn fleet_bound_with_calls() {
    for (count, seed) in [(30, 1), (30, 2), (100, 3), (100, 4), (300, 5), (300, 6)] {
        let mut fleet = CallingFleet::open(count, seed);
        let mut requests = Vec::new();
        // Four requests of callers a second at each daemon.
        for turn in 0..160 * count as u64 {
            let now = turn * 250 / count as u64;
            let daemon = fleet.rng.usize(0..count);
            let is_calling = fleet.rng.u8(0..3) > 0;
            if !is_calling {
                requests.push(now);
            }
            fleet.send(daemon, is_calling, false, false, now);
        }
        let inside = |times: &[u64], start: u64| {
            let times = times
                .iter()
                .filter(|time| (start..start + 10_000).contains(*time));
            f64::from(u32::try_from(times.count()).unwrap())
        };
        for start in (0..30_000).step_by(500) {
            let allowed = 0.2 * inside(&requests, start) + f64::from(RESERVE);
            let repeats = inside(&fleet.repeats, start);
            assert!(
                repeats <= allowed,
                "{count} daemons, seed {seed}: {repeats} repeats from {start} ms, {allowed} allowed"
            );
        }
        assert!(fleet.repeats.len() > 100, "{} repeats", fleet.repeats.len());
    }
}

/// Guards against a daemon that tells of no calls because it has just started, so that an ingress takes
/// the calls of repeated runs for none.
#[test]
fn rates_of_few_runs() {
    let service: ServiceId = "called".parse().unwrap();
    let mut rates = CallRates::open(MonoTime::ZERO);
    for run in 0..100_u64 {
        let now = MonoTime::from_millis(run);
        assert_eq!(rates.rates().is_some(), run >= 10, "after {run} runs");
        rates.record_run(now);
        if run % 2 == 0 {
            rates.record_call(&service, now);
        }
    }
    let told = rates.rates().unwrap();
    assert_eq!(told.len(), 1);
    assert_eq!(
        (&told[0].service, told[0].calls_per_thousand),
        (&service, 500)
    );
}
