//! A soak with real processes: kept connections, signals, restarts, broken links, a failing platform and
//! sick instances in overlapping series. It checks what callers are promised.
//!
//! `WAGTAILTRACK_SOAK_SEEDS=1-50 cargo nextest run --run-ignored only --test process_soak soak_by_hand` runs more
//! seeds.

mod common;
mod soak_kit;

use std::time::Duration;

use soak_kit::{CallerOutcome, LoggedRequest, SoakRun};

/// Daemons of a run; each has an instance.
const DAEMONS: usize = 4;
const SPAN: Duration = Duration::from_secs(15);
const SEEDS_VARIABLE: &str = "WAGTAILTRACK_SOAK_SEEDS";

async fn soak(seed: u64) {
    let run = SoakRun::open(seed, DAEMONS).await;
    let findings = run.run(SPAN).await;
    assert!(findings.is_empty(), "seed {seed}: {findings:#?}");
}

fn logged(is_filing: bool, outcome: CallerOutcome) -> LoggedRequest {
    LoggedRequest {
        is_filing,
        outcome,
        is_disturbed: false,
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

/// Guards against broken promises under faults that come together.
#[actix_rt::test]
async fn short_soak() {
    soak(1).await;
}

/// Runs the seeds that the environment names, such as `1-50`.
#[actix_rt::test]
#[ignore = "takes 15 s a seed, and the environment names the seeds"]
async fn soak_by_hand() {
    let text = std::env::var(SEEDS_VARIABLE).unwrap();
    let (first, last) = text.split_once('-').unwrap_or((&text, &text));
    let [first, last] = [first, last].map(|seed| seed.parse::<u64>().unwrap());
    for seed in first..=last {
        eprintln!("seed {seed}");
        soak(seed).await;
    }
}
