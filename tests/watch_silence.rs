//! Daemons that are in touch with the store while one or two of the daemons that they ask are silent.

mod watch_kit;

use std::net::SocketAddr;
use std::time::Duration;

use wagtailtrack::config::{PeerStep, PeerWatcher, WatchTree};
use wagtailtrack::ids::BootId;
use wagtailtrack::members::LiveMember;
use wagtailtrack::time::MonoTime;
use watch_kit::WatchFleet;

const ZONES: usize = 5;
/// Longer than any wait in the fleet.
const SETTLE_MILLIS: u64 = 8_000;
/// Half of the two seconds within which a change must be in force everywhere.
const BOUND_MILLIS: u64 = 1_000;
/// Longer than a question is held back, so that the cuts begin at every phase of it.
const PHASE_MILLIS: u64 = 1_800;
const PHASE_STEP_MILLIS: u64 = 150;

/// Directions in which messages between a daemon and those that it asks are lost.
#[derive(Debug, Clone, Copy)]
enum CutWay {
    ToPeer,
    FromPeer,
    Both,
}

/// Cuts a third of the daemons that ask another one off from the first `silent` of their sources,
/// publishes a change `lag` ms later and checks that all have it within the bound.
fn check_change(count: usize, way: CutWay, silent: usize, lag: u64) {
    for phase in (0..PHASE_MILLIS).step_by(PHASE_STEP_MILLIS as usize) {
        let mut fleet = WatchFleet::open(count, ZONES, phase);
        fleet.run(SETTLE_MILLIS + phase);
        assert!(fleet.all_fresh());
        let roots = fleet.roots();
        let asking = (0..count).filter(|index| !roots.contains(index));
        for index in asking.filter(|index| index / ZONES % 3 == phase as usize % 2) {
            for peer in fleet.sources(index).into_iter().take(silent) {
                if !matches!(way, CutWay::FromPeer) {
                    fleet.cut(index, peer);
                }
                if !matches!(way, CutWay::ToPeer) {
                    fleet.cut(peer, index);
                }
            }
        }
        fleet.run(lag);
        fleet.publish();
        fleet.run(BOUND_MILLIS);
        let behind = fleet.behind();
        assert!(
            behind.is_empty(),
            "{count} daemons, {way:?}, {silent} silent, phase {phase}, lag {lag}: {behind:?}"
        );
    }
}

fn check_sizes(way: CutWay, silent: usize) {
    for count in [25, 100, 300] {
        for lag in [0, 100, 700] {
            check_change(count, way, silent, lag);
        }
    }
}

/// Guards against a change that reaches a daemon late because its parent is silent: the length of a
/// long poll must be no part of the time until that is noticed.
#[test]
fn parent_silent() {
    check_sizes(CutWay::Both, 1);
}

/// The same where only the parent's messages are lost.
#[test]
fn parent_unheard() {
    check_sizes(CutWay::FromPeer, 1);
}

/// The same where the parent's messages arrive, but not those to it: the child hears of the change
/// and cannot load it.
#[test]
fn parent_unreachable() {
    check_sizes(CutWay::ToPeer, 1);
}

/// The same where the daemon that stands in for the parent is silent too.
#[test]
fn two_peers_silent() {
    check_sizes(CutWay::Both, 2);
}

/// Two silent peers, one direction each way.
#[test]
fn two_peers_one_way() {
    check_sizes(CutWay::ToPeer, 2);
    check_sizes(CutWay::FromPeer, 2);
}

/// Guards against calls to the store that go on growing while the daemons that others ask are silent.
#[test]
fn store_calls_while_silent() {
    let mut fleet = WatchFleet::open(100, ZONES, 3);
    fleet.run(SETTLE_MILLIS);
    let roots = fleet.roots();
    for index in (0..100).filter(|index| !roots.contains(index)) {
        let parent = fleet.sources(index)[0];
        fleet.cut(index, parent);
        fleet.cut(parent, index);
    }
    fleet.run(2_000);
    let before = fleet.store_calls();
    fleet.run(10_000);
    let calls = fleet.store_calls() - before;
    // A daemon of its own that watches the store makes one call in a fifth of the lease.
    assert!(calls <= 100 * 11, "{calls} calls in 10 s");
}

/// Guards against daemons that watch the store for seconds because one connection to their parent has
/// gone silent.
#[test]
fn silent_connection() {
    for count in [25, 100, 300] {
        let mut fleet = WatchFleet::open(count, ZONES, 4);
        fleet.run(SETTLE_MILLIS);
        let roots = fleet.roots();
        let asking = (0..count).filter(|index| !roots.contains(index));
        let asking: Vec<_> = asking
            .filter(|index| (index / ZONES).is_multiple_of(3))
            .collect();
        let before = fleet.store_calls();
        fleet.run(6_000);
        let calls_of_roots = fleet.store_calls() - before;
        for index in &asking {
            fleet.silence_connection(*index);
        }
        let before = fleet.store_calls();
        fleet.run(6_000);
        let calls = fleet.store_calls() - before;
        // A read and two watches, and one more of the root that the end of the span may cut off.
        let allowed = calls_of_roots + roots.len() as u64 + 3 * asking.len() as u64;
        assert!(
            calls <= allowed,
            "{count} daemons: {calls} calls, {allowed} allowed"
        );
    }
}

fn member(name: &str, port: u16) -> LiveMember {
    LiveMember {
        daemon: name.parse().unwrap(),
        boot: BootId(1),
        address: SocketAddr::from(([10, 0, 0, 1], port)),
        zone: "zone-a".parse().unwrap(),
        region: "region-a".parse().unwrap(),
    }
}

/// Guards against a daemon that goes on asking others, and watching the store, while the membership
/// has already named another parent in the place of the silent one.
#[test]
fn new_parent_asked() {
    let members: Vec<_> = (0..20)
        .map(|index| member(&format!("daemon-{index}"), 7_000 + index))
        .collect();
    let mut rng = fastrand::Rng::with_seed(1);
    let mut tree_of = |own: &LiveMember, members: &[LiveMember]| {
        WatchTree::new(&own.daemon, &own.zone, members, &mut rng)
    };
    let trees = members.iter().map(|own| (own, tree_of(own, &members)));
    let (own, tree) = trees
        .into_iter()
        .find(|(_, tree)| tree.parent().is_some())
        .unwrap();
    let parent = tree.parent();
    let live: Vec<_> = members
        .iter()
        .filter(|member| Some(member.address) != parent)
        .cloned()
        .collect();
    let mut now = MonoTime::from_millis(1);
    let mut watcher = PeerWatcher::open(Duration::from_secs(5), now);
    let mut ask = |tree: &WatchTree| loop {
        match watcher.next_step(tree, None, now) {
            PeerStep::Pause(until) => now = now + until.remaining(now),
            PeerStep::Ask(peer, _, silence) => {
                let sent = now;
                now = now + silence;
                watcher.answered(peer, sent, now, None, None);
                return Some(peer);
            }
        }
    };
    assert_eq!(ask(&tree), parent);
    assert_eq!(ask(&tree), parent, "over a new connection");
    assert_ne!(ask(&tree), parent);
    let mut rng = fastrand::Rng::with_seed(1);
    let tree = WatchTree::new(&own.daemon, &own.zone, &live, &mut rng);
    assert!(tree.parent().is_some());
    assert_eq!(ask(&tree), tree.parent());
}
