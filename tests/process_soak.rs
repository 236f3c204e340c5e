//! A soak with real processes: kept connections, signals, restarts, broken links, a failing platform and
//! sick instances in overlapping series. It checks what callers are promised.
//!
//! `WAGTAILTRACK_SOAK_SEEDS=1-50 cargo nextest run --run-ignored only --test process_soak soak_by_hand` runs more
//! seeds.

mod common;
mod soak_kit;

use std::time::{Duration, Instant};

use soak_kit::{CallerOutcome, LoggedRequest, RunSpan, SoakFaults, SoakRun, StopTimes};

/// Daemons of a run with all faults; each has an instance.
const DAEMONS: usize = 4;
/// Daemons of a short run and of a run by hand with planned stops alone.
const STOP_DAEMONS: usize = 12;
const MANY_DAEMONS: usize = 24;
const SPAN: Duration = Duration::from_secs(15);
const SEEDS_VARIABLE: &str = "WAGTAILTRACK_SOAK_SEEDS";
const DAEMONS_VARIABLE: &str = "WAGTAILTRACK_SOAK_DAEMONS";

async fn soak(seed: u64, daemons: usize, faults: SoakFaults) -> Vec<String> {
    let run = SoakRun::open(seed, daemons, faults).await;
    run.run(SPAN).await
}

/// Runs the seeds that the environment names, such as `1-50`, to the last, and fails if one has findings.
async fn soak_seeds(daemons: usize, faults: SoakFaults) {
    let daemons = std::env::var(DAEMONS_VARIABLE).map_or(daemons, |text| text.parse().unwrap());
    let text = std::env::var(SEEDS_VARIABLE).unwrap();
    let (first, last) = text.split_once('-').unwrap_or((&text, &text));
    let [first, last] = [first, last].map(|seed| seed.parse::<u64>().unwrap());
    let mut failed = Vec::new();
    for seed in first..=last {
        let findings = soak(seed, daemons, faults).await;
        eprintln!("seed {seed}: {findings:#?}");
        if !findings.is_empty() {
            failed.push(seed);
        }
    }
    assert!(failed.is_empty(), "seeds with findings: {failed:?}");
}

fn logged(is_filing: bool, outcome: CallerOutcome) -> LoggedRequest {
    let now = Instant::now();
    LoggedRequest {
        is_filing,
        outcome,
        is_disturbed: false,
        ingress: 0,
        work: Duration::ZERO,
        sent: now,
        answered: now,
        deadline: now + Duration::from_secs(6),
    }
}

/// The checks find a filing that ran twice, a false verdict, an answer without a run and an answer cut off
/// by a planned stop, and nothing else.
#[test]
fn checks_find() {
    let answered = |verdict: &str, status| CallerOutcome::Answered(verdict.to_owned(), status);
    let cut = || CallerOutcome::Interrupted("reset".to_owned());
    let found = [
        (logged(true, answered("may-have-run", 502)), 2),
        (logged(true, answered("not-run", 503)), 1),
        (logged(false, answered("ran", 200)), 0),
        (logged(false, cut()), 1),
    ];
    assert!(
        found
            .iter()
            .all(|(request, times)| request.finding(*times).is_some())
    );
    let allowed = [
        (logged(true, answered("ran", 200)), 1),
        (logged(false, answered("ran", 200)), 2),
        (logged(true, answered("not-run", 503)), 0),
        (logged(true, answered("may-have-run", 502)), 1),
        (logged(true, cut()), 0),
    ];
    assert!(
        allowed
            .iter()
            .all(|(request, times)| request.finding(*times).is_none())
    );
}

/// The check of lost responses finds one whose work ends in time, and none whose work ends after the deadline or
/// in the last sixth of a stop of a daemon on its way.
#[test]
fn losses_found() {
    let after = |millis| Duration::from_millis(millis);
    let lost = CallerOutcome::Answered("may-have-run".to_owned(), 502);
    let request = logged(false, lost);
    let stopped = [StopTimes::default(), StopTimes::default()];
    stopped[1].begin();
    let (sent, idle) = (request.sent, StopTimes::default());
    let run = |end| RunSpan {
        index: 1,
        start: sent + after(10),
        end: sent + after(end),
    };
    assert!(request.is_lost(&[], &[&idle, &idle]));
    assert!(request.is_lost(&[run(5_800)], &[&idle, &idle]));
    assert!(!request.is_lost(&[run(5_950)], &[&idle, &idle]));
    for stops in [[&idle, &stopped[1]], [&stopped[1], &idle]] {
        assert!(request.is_lost(&[run(4_900)], &stops));
        assert!(request.is_lost(&[run(5_500), run(4_900)], &stops));
        assert!(!request.is_lost(&[run(5_500)], &stops));
    }
    let timeout = CallerOutcome::Answered("may-have-run".to_owned(), 504);
    let mut late = logged(false, timeout);
    late.answered = late.deadline;
    assert!(!late.is_lost(&[], &[&idle, &idle]));
    assert!(!late.is_lost(&[run(5_950)], &[&idle, &idle]));
    assert!(late.is_lost(&[run(5_950), run(900)], &[&idle, &idle]));
    let served = logged(false, CallerOutcome::Answered("ran".to_owned(), 200));
    assert!(!served.is_lost(&[run(100)], &[&idle, &idle]));
}

/// Guards against broken promises under faults that come together.
#[actix_rt::test]
async fn short_soak() {
    let findings = soak(1, DAEMONS, SoakFaults::All).await;
    assert!(findings.is_empty(), "{findings:#?}");
}

/// Guards against responses that are lost while groups of daemons stop.
#[actix_rt::test]
async fn short_stops() {
    let findings = soak(1, STOP_DAEMONS, SoakFaults::Stops).await;
    assert!(findings.is_empty(), "{findings:#?}");
}

/// Runs the seeds that the environment names, such as `1-50`.
#[actix_rt::test]
#[ignore = "takes 15 s a seed, and the environment names the seeds"]
async fn soak_by_hand() {
    soak_seeds(DAEMONS, SoakFaults::All).await;
}

/// As `soak_by_hand`, with planned stops alone of more daemons.
#[actix_rt::test]
#[ignore = "takes 30 to 70 s a seed, and the environment names the seeds"]
async fn stops_by_hand() {
    soak_seeds(MANY_DAEMONS, SoakFaults::Stops).await;
}
