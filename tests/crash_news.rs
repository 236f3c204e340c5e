//! How daemons hear of requests that end instances, in virtual time.
//!
//! The load: one client account repeats such a request through every daemon of three zones, while a tenth
//! of the daemons restart, datagrams are lost and one zone is cut off for a while.

mod gossip_net;

use std::time::Duration;

use gossip_net::{GossipNet, SEEDS};
use wagtailtrack::crashes::{CrashRules, RequestStanding, SuspectTable};
use wagtailtrack::hash::rendezvous_score;
use wagtailtrack::wire::{RequestDigest, RunOutcome, RunReport};

const ZONES: usize = 3;
const RELAYS: usize = 2;
const RULES: CrashRules = CrashRules {
    limit: 3,
    hold: Duration::from_secs(600),
};
const GUILTY: RequestDigest = RequestDigest {
    account: 1,
    content: 2,
};
/// Time within which every daemon must refuse a request after the third end that it caused.
const NEWS_TIME: Duration = Duration::from_secs(3);
/// Ends after that, all trials included, that callers can be asked to bear.
const MAX_LATE_ENDS: usize = 3;
/// Time in which all daemons of the largest fleet here know one another.
const START: Duration = Duration::from_secs(20);
const STEP: Duration = Duration::from_millis(100);

/// A fleet with an instance beside each daemon.
struct CrashFleet {
    net: GossipNet,
    tables: Vec<SuspectTable>,
    /// Reports of `net` that the tables have taken in.
    seen: usize,
}

impl CrashFleet {
    fn open(daemons: usize, seed: u64) -> Self {
        let mut net = GossipNet::open_zones(daemons, ZONES, RELAYS, seed);
        net.run(START);
        assert!(net.all_count(daemons));
        Self {
            net,
            tables: (0..daemons).map(|_| SuspectTable::open(RULES)).collect(),
            seen: 0,
        }
    }

    fn run(&mut self, span: Duration) {
        self.net.run(span);
        for (node, report) in &self.net.runs[self.seen..] {
            self.tables[*node].record(report, self.net.now);
        }
        self.seen = self.net.runs.len();
    }

    fn restart(&mut self, daemon: usize, boot: u64) {
        self.tables[daemon] = SuspectTable::open(RULES);
        // What the process before has heard is gone.
        self.net.runs.retain(|(node, _)| *node != daemon);
        self.seen = self.net.runs.len();
        self.net
            .restart(daemon, boot, i64::try_from(boot).unwrap() * 1_000);
    }

    fn standing(&self, daemon: usize) -> RequestStanding {
        self.tables[daemon].standing(GUILTY, self.net.now)
    }

    fn end_instance(&mut self, daemon: usize) {
        let reports = self.tables[daemon].reports_of_end(&[GUILTY], self.net.now);
        for report in &reports {
            self.tables[daemon].record(report, self.net.now);
            self.net.publish_run(daemon, report);
        }
    }

    /// Sends the request through `ingress`. Returns whether an instance has run it, and ended.
    fn send(&mut self, ingress: usize) -> bool {
        let daemons = self.tables.len();
        let egress = match self.standing(ingress) {
            RequestStanding::Refused(_) => return false,
            RequestStanding::Clear => self.net.rng.usize(0..daemons),
            RequestStanding::Suspected(_) => {
                let score = |daemon: &usize| rendezvous_score(&format!("desk-{daemon}"), 2);
                (0..daemons).max_by_key(score).unwrap()
            }
        };
        let is_cut = self.net.blocked_links.contains(&(ingress, egress));
        if is_cut || self.standing(egress).is_refused() {
            return false;
        }
        self.end_instance(egress);
        true
    }
}

/// Guards against daemons that hear of an end too late to refuse the request, in other zones or because
/// datagrams were lost.
#[test]
fn reports_reach_all() {
    for daemons in [24, 105] {
        let mut worst = Duration::ZERO;
        for seed in SEEDS {
            let mut fleet = CrashFleet::open(daemons, seed);
            fleet.net.loss = 0.05;
            for number in 0..10 {
                let digest = RequestDigest {
                    account: 1,
                    content: number,
                };
                let outcome = RunOutcome::InstanceEnded {
                    was_only_suspect: false,
                };
                let begin = fleet.net.now;
                let origin = fleet.net.rng.usize(0..daemons);
                let report = RunReport::open(digest, outcome);
                fleet.net.publish_run(origin, &report);
                let knows = |fleet: &CrashFleet, daemon: usize| {
                    let standing = fleet.tables[daemon].standing(digest, fleet.net.now);
                    standing.is_suspect()
                };
                while !(0..daemons).all(|daemon| knows(&fleet, daemon)) {
                    fleet.run(STEP);
                    let time = fleet.net.now.since(begin);
                    assert!(time < NEWS_TIME, "seed {seed}, {daemons} daemons, {time:?}");
                }
                worst = worst.max(fleet.net.now.since(begin));
            }
        }
        println!("{daemons} daemons: all know after {worst:?} at the latest");
    }
}

/// Guards against a fourth end where the messages of the first three can be in time.
#[test]
fn no_fourth_end() {
    for seed in SEEDS {
        let mut fleet = CrashFleet::open(24, seed);
        let mut ends = 0;
        for _ in 0..100 {
            let ingress = fleet.net.rng.usize(0..24);
            ends += usize::from(fleet.send(ingress));
            fleet.run(STEP * 5);
        }
        assert_eq!(ends, RULES.limit, "seed {seed}");
    }
}

/// Guards against a refusal that daemons forget which restart, or that a zone misses which is cut off
/// while the request goes on everywhere.
#[test]
fn restarts_and_cut() {
    for seed in SEEDS {
        let daemons = 60;
        let mut fleet = CrashFleet::open(daemons, seed);
        fleet.net.loss = 0.03;
        let (mut ends, mut late_ends) = (0, 0);
        let mut third_at = None;
        for step in 0..400 {
            if step == 30 || step == 90 {
                // A cut of the zone of daemon 0 begins or ends; the request comes first during the cut.
                for inside in (0..daemons).step_by(ZONES) {
                    for outside in (0..daemons).filter(|other| other % ZONES != 0) {
                        match step {
                            30 => {
                                fleet.net.block_link(inside, outside);
                                fleet.net.block_link(outside, inside);
                            }
                            _ => fleet.net.blocked_links.clear(),
                        }
                    }
                }
            }
            if step % 60 == 50 {
                for _ in 0..daemons / 10 {
                    let daemon = fleet.net.rng.usize(0..daemons);
                    fleet.restart(daemon, 2 + step);
                }
            }
            let ingress = fleet.net.rng.usize(0..daemons);
            let has_ended = step >= 35 && fleet.send(ingress);
            ends += usize::from(has_ended);
            if has_ended && third_at.is_some_and(|at| fleet.net.now.since(at) > NEWS_TIME) {
                late_ends += 1;
            }
            if ends == RULES.limit {
                third_at = third_at.or(Some(fleet.net.now));
            }
            fleet.run(STEP);
        }
        println!("seed {seed}: {ends} ends, {late_ends} late");
        assert!(late_ends <= MAX_LATE_ENDS, "seed {seed}: {late_ends} late");
    }
}

/// Guards against old reports in member records, which a daemon that starts would take for new.
#[test]
fn old_reports_dropped() {
    let mut fleet = CrashFleet::open(6, 1);
    fleet.end_instance(0);
    fleet.run(Duration::from_secs(5));
    let carries = |fleet: &CrashFleet| {
        let view = fleet.net.nodes[1].core.view();
        let origin = fleet.net.nodes[0].core.view().own().daemon.clone();
        !view.member(&origin).unwrap().runs.is_empty()
    };
    assert!(carries(&fleet));
    fleet.run(RULES.hold + Duration::from_secs(5));
    assert!(!carries(&fleet));
}
