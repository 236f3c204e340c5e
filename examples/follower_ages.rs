//! Prints how old confirmations are and how fast a change spreads in a fleet of so many followers.
//!
//! `cargo run --release --example follower_ages -- 4100`: state machines in one process, virtual
//! time, 3 ms a message.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use wagtailtrack::config::{
    Catalog, ConfigAction, ConfigChange, ConfigFollower, FollowerAction, FollowerRules,
};
use wagtailtrack::ids::Revision;
use wagtailtrack::resource::{ClientAccount, ConfigResource};
use wagtailtrack::time::MonoTime;
use wagtailtrack::wire::{self, ConfigCall, ConfigReply, PeerCall, PeerOpening, PeerReply};

const STEP_MILLIS: u64 = 3;
const TICK_STEPS: u64 = 66;
const START_MILLIS: u64 = 1_000_000;
const WARM_MILLIS: u64 = 2_000;
const SAMPLE_MILLIS: u64 = 90_000;

struct Fleet {
    followers: Vec<ConfigFollower>,
    addresses: Vec<SocketAddr>,
    inbox: Vec<(usize, FollowerAction)>,
    rng: fastrand::Rng,
    step: u64,
    asks: u64,
    heads: u64,
    pushes: u64,
}

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let members: usize = std::env::args()
        .nth(1)
        .ok_or("name a number of daemons")?
        .parse()?;
    let mut fleet = Fleet::open(members);
    fleet.run(WARM_MILLIS);
    (fleet.asks, fleet.heads) = (0, 0);
    let started = Instant::now();
    let mut ages = Vec::new();
    for _ in 0..SAMPLE_MILLIS / 1_000 {
        fleet.run(1_000);
        ages.extend(fleet.ages());
    }
    let spent = started.elapsed();
    ages.sort_unstable();
    let at = |share: f64| ages[((ages.len() - 1) as f64 * share) as usize];
    println!(
        "{members} daemons: age of confirmations p50 {:?}, p99 {:?}, p99.9 {:?}, most {:?}",
        at(0.5),
        at(0.99),
        at(0.999),
        at(1.0)
    );
    let seconds = SAMPLE_MILLIS / 1_000;
    println!(
        "asks a second and daemon {:.2}, head reads a second in the fleet {}",
        fleet.asks as f64 / seconds as f64 / members as f64,
        fleet.heads / seconds
    );
    println!(
        "{:?} of one core a second and daemon",
        spent / seconds as u32 / members as u32
    );
    let question = wire::encode(&PeerOpening::Call(PeerCall::Config(
        ConfigCall::FetchChanges(Revision(1_000_000)),
    )))?;
    let state = fleet.followers[0].state(Revision(1), fleet.now());
    let answer = wire::encode(&PeerReply::Config(ConfigReply::State(state)))?;
    println!(
        "an ask takes {} bytes and its answer {}, before framing",
        question.len(),
        answer.len()
    );
    let took = fleet.spread()?;
    println!(
        "a change in force everywhere after {took:?}, {:.1} pushes a daemon",
        fleet.pushes as f64 / members as f64
    );
    Ok(())
}

impl Fleet {
    fn open(members: usize) -> Self {
        let rules = FollowerRules {
            lease: Duration::from_secs(10),
            query_interval: Duration::from_secs(1),
            fleet_polls_per_second: 100,
            is_document: false,
        };
        let now = MonoTime::from_millis(START_MILLIS);
        let followers = (0..members).map(|index| {
            let mut follower = ConfigFollower::open(rules, index as u64, now);
            follower.snapshot_read(Some(Catalog::from_resources(Revision(1), None)));
            follower
        });
        Self {
            followers: followers.collect(),
            addresses: (0..members)
                .map(|index| SocketAddr::from(([127, 0, 0, 1], index as u16 + 1)))
                .collect(),
            inbox: Vec::new(),
            rng: fastrand::Rng::with_seed(1),
            step: 0,
            asks: 0,
            heads: 0,
            pushes: 0,
        }
    }

    fn now(&self) -> MonoTime {
        MonoTime::from_millis(START_MILLIS + self.step * STEP_MILLIS)
    }

    fn run(&mut self, millis: u64) {
        for _ in 0..millis / STEP_MILLIS {
            self.step();
        }
    }

    fn step(&mut self) {
        self.step += 1;
        for (index, action) in std::mem::take(&mut self.inbox) {
            self.carry_out(index, action);
        }
        let now = self.now();
        for index in 0..self.followers.len() {
            // Daemons tick at different moments.
            if (self.step + index as u64).is_multiple_of(TICK_STEPS) {
                let actions = self.followers[index].tick(now, &self.addresses, &mut self.rng);
                self.inbox
                    .extend(actions.into_iter().map(|action| (index, action)));
            }
        }
    }

    fn carry_out(&mut self, index: usize, action: FollowerAction) {
        let now = self.now();
        let actions = match action {
            FollowerAction::ReadHead => {
                self.heads += 1;
                let newest = self.followers[0].lease().newest();
                self.followers[index].head_read(now, Ok(newest))
            }
            FollowerAction::QueryPeer(peer, have) => {
                self.asks += 1;
                let other = usize::from(peer.port()) - 1;
                let state = self.followers[other].state(have, now);
                self.followers[index].peer_answered(now, peer, Some(state))
            }
            FollowerAction::PushChanges(peer, changes) => {
                self.pushes += 1;
                let other = usize::from(peer.port()) - 1;
                let actions = self.followers[other].changes_pushed(&changes);
                self.inbox
                    .extend(actions.into_iter().map(|action| (other, action)));
                Vec::new()
            }
            FollowerAction::ReadChanges(..) | FollowerAction::ReadSnapshot(_) => Vec::new(),
        };
        self.inbox
            .extend(actions.into_iter().map(|action| (index, action)));
    }

    fn ages(&self) -> Vec<Duration> {
        let now = self.now();
        let ages = self
            .followers
            .iter()
            .map(|follower| follower.lease().confirmation_age(now));
        ages.map(|age| age.unwrap_or(Duration::MAX)).collect()
    }

    fn spread(&mut self) -> Result<Duration, Box<dyn std::error::Error>> {
        let change = ConfigChange {
            revision: Revision(2),
            operation: "op-1".parse()?,
            action: ConfigAction::Put(ConfigResource::Account(ClientAccount::new("a1".parse()?))),
        };
        let started = self.now();
        let actions = self.followers[0].change_committed(&change);
        self.inbox
            .extend(actions.into_iter().map(|action| (0, action)));
        while self
            .followers
            .iter()
            .any(|follower| follower.catalog().revision() < Revision(2))
        {
            self.step();
        }
        Ok(self.now().since(started))
    }
}
