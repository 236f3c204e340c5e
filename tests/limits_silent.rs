//! Requests of an account with one home that does not answer and one that has no tokens.
//!
//! Guards against requests that wait for the lost home instead of being refused at once. This
//! happens when several VMs are lost while an account sends many times its rate.

mod limits_kit;

use std::time::Duration;

use limits_kit::rate_limit;
use wagtailtrack::ids::BootId;
use wagtailtrack::limits::{
    AdmissionController, AdmitOutcome, HomeCandidate, HomeMap, WaitOutcome,
};
use wagtailtrack::time::MonoTime;
use wagtailtrack::wire::{GrantOutcome, GrantReply};

const SHARES: u32 = 8;

fn home(name: &str, port: u16) -> HomeCandidate {
    HomeCandidate {
        daemon: name.parse().unwrap(),
        address: ([127, 0, 0, 1], port).into(),
    }
}

/// Behaviour of the home that is called first. The second one answers that it has no tokens.
#[derive(Clone, Copy)]
enum FirstHome {
    Silent,
    NotHome,
}

/// Outcome for a second request after both homes were called, and the outcomes for the first one.
fn outcome_after_both(first_home: FirstHome) -> (AdmitOutcome, Vec<WaitOutcome>) {
    let limit = rate_limit("crew", 10, 20);
    let map = HomeMap::new(vec![home("one", 1), home("two", 2)]);
    let mut controller = AdmissionController::open(BootId(7), SHARES);
    let mut now = MonoTime::from_millis(1_000);
    let wait = Duration::from_millis(500);
    let first = controller.admit(&limit, now.after(wait), now);
    assert!(matches!(first, AdmitOutcome::Waiting(_)));
    let mut outcomes = Vec::new();
    let mut homes = 0;
    while homes < 2 {
        for call in controller.due_calls(&map, now) {
            homes += 1;
            let give = match (homes, first_home) {
                (1, FirstHome::Silent) => {
                    controller.record_failure(&call, now);
                    continue;
                }
                (1, FirstHome::NotHome) => GrantOutcome::NotHome,
                _ => GrantOutcome::NoTokens {
                    retry_micros: 100_000,
                },
            };
            let answer = GrantReply {
                home: BootId(9),
                outcomes: vec![give; call.ask.demands.len()],
            };
            outcomes.extend(controller.record_answer(&call, &answer, now));
        }
        now = now + Duration::from_millis(5);
        outcomes.extend(controller.tick(now));
    }
    (controller.admit(&limit, now.after(wait), now), outcomes)
}

/// If one home has no tokens and the other does not answer, requests are refused at once.
#[test]
fn empty_and_silent() {
    let (next, outcomes) = outcome_after_both(FirstHome::Silent);
    assert!(
        matches!(outcomes[..], [WaitOutcome::Refused(..)]),
        "{outcomes:?}"
    );
    let AdmitOutcome::Refused(refusal) = next else {
        panic!("the request waits for the silent home: {next:?}");
    };
    assert!(refusal.retry_after <= Duration::from_millis(100));
    assert!(refusal.to_string().contains("silent"), "{refusal}");
}

/// A daemon that is not the home yet may become it within milliseconds, so requests wait for it.
#[test]
fn empty_and_not_home() {
    let (next, outcomes) = outcome_after_both(FirstHome::NotHome);
    assert!(outcomes.is_empty(), "{outcomes:?}");
    assert!(matches!(next, AdmitOutcome::Waiting(_)), "{next:?}");
}
