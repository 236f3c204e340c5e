//! Daemons that follow a document, their store and the messages between them, in virtual time.

#![allow(dead_code, reason = "each test file uses a part")]

mod event_handlers;
mod watch_node;

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashSet};
use std::net::SocketAddr;
use std::time::Duration;

use wagtailtrack::config::{ConfigDocument, MAX_ALTERNATES};
use wagtailtrack::evacuation::{EvacuatedZones, EvacuationMark};
use wagtailtrack::ids::{BootId, Revision, StoreEra, Version};
use wagtailtrack::members::LiveMember;
use wagtailtrack::wire::WatchRequest;

pub use watch_node::WatchNode;

pub const LEASE: Duration = Duration::from_secs(5);
/// One-way delays of messages, in microseconds.
const DELAYS: std::ops::Range<u64> = 500..4_000;
/// Time in which a call that gets no answer fails, in microseconds.
const STORE_TIMEOUT: u64 = 800_000;

/// What happens at a time.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// The driver of the store takes its next step, if it still waits for it: node and number.
    StoreTurn(usize, u64),
    /// The driver of the peers takes its next step.
    PeerTurn(usize),
    /// A call arrives at the store: node, time of sending, position and wait.
    StoreCall(usize, u64, Option<u64>, u64),
    /// The end of a wait at the store: node and time of sending.
    StoreWaitEnd(usize, u64),
    /// The store's answer arrives: node, time of sending, revision, the store's time and its version.
    StoreAnswer(usize, u64, Option<(u64, u64, u64)>),
    /// A question arrives: asking node, asked node, number.
    Question(usize, usize, u64),
    /// The end of a wait at the asked node.
    WaitEnd(usize, usize, u64),
    /// An answer arrives: asking node, asked node, number, answer.
    Answer(usize, usize, u64, AnswerParts),
    /// The asked node holds its answer back: asking node, asked node, number.
    Hold(usize, usize, u64),
    /// A message that tells so arrives.
    Held(usize, usize, u64),
    /// The asking node gives a question up unless the asked one was heard since: asking node, asked
    /// node, number, the longest silence.
    GiveUp(usize, usize, u64, u64),
    /// A request for the document arrives: asking node, asked node, number.
    LoadCall(usize, usize, u64),
    /// The document arrives: asking node, asked node, number, revision.
    LoadAnswer(usize, usize, u64, Option<u64>),
    /// The document is late: asking node, number.
    LoadLate(usize, u64),
    /// The asking node gives the document up.
    LoadGiveUp(usize, usize, u64),
}

/// Clock, revision and age of an answer, whether the node has lost the store, and the newest version
/// of the store of which it knows the evacuations.
type AnswerParts = (u64, Option<u64>, Option<u64>, bool, Option<u64>);

/// The fleet and its store.
pub struct WatchFleet {
    nodes: Vec<WatchNode>,
    members: Vec<LiveMember>,
    now: u64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    sequence: u64,
    rng: fastrand::Rng,
    /// Times at which each revision was published, the first at 0.
    published: Vec<u64>,
    /// Versions of the store at which the zone was taken out or put back, by turns.
    zone_changes: Vec<u64>,
    /// Calls that wait at the store for a change: node and time of sending.
    store_waits: Vec<(usize, u64)>,
    store_calls: u64,
    /// Directions that lose all messages: sending and receiving node.
    cuts: HashSet<(usize, usize)>,
}

impl WatchFleet {
    /// Starts `count` daemons in `zones` zones.
    pub fn open(count: usize, zones: usize, seed: u64) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let members: Vec<_> = (0..count).map(|index| live_member(index, zones)).collect();
        let nodes = members
            .iter()
            .map(|own| WatchNode::open(own, &members, &mut rng))
            .collect();
        let mut fleet = Self {
            nodes,
            members,
            now: 0,
            events: BinaryHeap::new(),
            sequence: 0,
            rng,
            published: vec![0],
            zone_changes: Vec::new(),
            store_waits: Vec::new(),
            store_calls: 0,
            cuts: HashSet::new(),
        };
        for index in 0..count {
            fleet.schedule_store_turn(index, 0, false);
            fleet.schedule(0, Event::PeerTurn(index));
        }
        fleet
    }

    /// Runs for `millis`.
    pub fn run(&mut self, millis: u64) {
        let end = self.now + millis * 1_000;
        while let Some(Reverse((time, ..))) = self.events.peek()
            && *time <= end
        {
            let Some(Reverse((time, _, event))) = self.events.pop() else {
                break;
            };
            self.now = time;
            self.handle(event);
        }
        self.now = end;
    }

    /// Publishes a new revision.
    pub fn publish(&mut self) {
        self.published.push(self.now);
        self.answer_waits();
    }

    /// Takes a zone out of service, or puts it back.
    pub fn change_zone(&mut self) {
        self.zone_changes.push(self.version() + 1);
        self.answer_waits();
    }

    /// Nodes that do not know the present evacuation.
    pub fn uninformed(&self) -> Vec<usize> {
        let newest = self.zones_at(self.version());
        let nodes = self.nodes.iter().enumerate();
        let uninformed = nodes.filter(|(_, node)| {
            !node.evacuations.is_known() || *node.evacuations.zones() != newest
        });
        uninformed.map(|(index, _)| index).collect()
    }

    /// Version of the store, which rises with each document and each change of the zone.
    fn version(&self) -> u64 {
        (self.published.len() + self.zone_changes.len()) as u64
    }

    /// The evacuated zones at a version of the store.
    fn zones_at(&self, version: u64) -> EvacuatedZones {
        let changes = self
            .zone_changes
            .iter()
            .filter(|change| **change <= version);
        match changes.count() % 2 {
            0 => EvacuatedZones::default(),
            _ => ["zone-0".parse().unwrap()].into_iter().collect(),
        }
    }

    fn answer_waits(&mut self) {
        for (node, sent) in std::mem::take(&mut self.store_waits) {
            self.answer_store_call(node, sent);
        }
    }

    /// Makes the store refuse the nodes that `is_away` selects.
    pub fn turn_away(&mut self, is_away: impl Fn(usize) -> bool) {
        for (index, node) in self.nodes.iter_mut().enumerate() {
            node.is_away = is_away(index);
        }
    }

    /// Makes the nodes that `is_silent` selects send and receive nothing of other nodes.
    pub fn silence(&mut self, is_silent: impl Fn(usize) -> bool) {
        for (index, node) in self.nodes.iter_mut().enumerate() {
            node.is_silent = is_silent(index);
        }
    }

    /// Loses all messages from one node to another from now on.
    pub fn cut(&mut self, from: usize, to: usize) {
        self.cuts.insert((from, to));
    }

    /// Makes the connection silent over which the node has asked its present question. Later questions
    /// take a new one.
    pub fn silence_connection(&mut self, index: usize) {
        if let Some((number, peer, ..)) = self.nodes[index].question {
            let kept = &mut self.nodes[peer].kept;
            kept.retain(|kept| *kept != (index, number));
        }
    }

    /// The nodes that a node asks first, second and so on if the ones before are silent; the parent is
    /// the first.
    pub fn sources(&self, index: usize) -> Vec<usize> {
        let tree = &self.nodes[index].tree;
        let alternates = (1..=MAX_ALTERNATES).filter_map(|position| tree.peer_at(position));
        let parents = tree.parent().into_iter().chain(tree.grandparent());
        let sources = parents.chain(alternates);
        sources.map(member_index).collect()
    }

    /// Whether a message from one node reaches another.
    fn reaches(&self, from: usize, to: usize) -> bool {
        let is_silent = self.nodes[from].is_silent || self.nodes[to].is_silent;
        !is_silent && !self.cuts.contains(&(from, to))
    }

    /// The nodes that watch the store.
    pub fn roots(&self) -> Vec<usize> {
        let indices = 0..self.nodes.len();
        indices
            .filter(|index| self.nodes[*index].tree.is_root())
            .collect()
    }

    pub fn store_calls(&self) -> u64 {
        self.store_calls
    }

    /// Questions that each node was asked.
    pub fn questions(&self) -> Vec<u64> {
        self.nodes.iter().map(|node| node.questions).collect()
    }

    /// Questions between zones of the nodes that are not silent.
    pub fn zone_questions(&self) -> u64 {
        let heard = self.nodes.iter().filter(|node| !node.is_silent);
        heard.map(|node| node.zone_questions).sum()
    }

    /// The nodes that others ask and that watch no store.
    pub fn inner_nodes(&self) -> Vec<usize> {
        let parents = self.nodes.iter().filter_map(|node| node.tree.parent());
        let mut inner: Vec<_> = parents.map(member_index).collect();
        inner.sort_unstable();
        inner.dedup();
        inner.retain(|index| !self.nodes[*index].tree.is_root());
        inner
    }

    pub fn all_fresh(&self) -> bool {
        self.all_fresh_but(&[])
    }

    pub fn all_fresh_but(&self, excluded: &[usize]) -> bool {
        let nodes = self.nodes.iter().enumerate();
        nodes
            .filter(|(index, _)| !excluded.contains(index))
            .all(|(_, node)| node.age(self.now).is_some_and(|age| age < LEASE))
    }

    /// The nodes without a valid confirmation, with what decides their steps.
    pub fn stale(&self) -> Vec<String> {
        let nodes = self.nodes.iter().enumerate();
        let stale = nodes.filter(|(_, node)| node.age(self.now).is_none_or(|age| age >= LEASE));
        stale
            .map(|(index, node)| {
                format!("{index}: {:?} {:?}", node.age(self.now), node.peer_watcher)
            })
            .collect()
    }

    pub fn none_fresh(&self) -> bool {
        let mut nodes = self.nodes.iter();
        nodes.all(|node| node.age(self.now).is_none_or(|age| age >= LEASE))
    }

    /// Whether all nodes have the newest revision.
    pub fn all_current(&self) -> bool {
        self.behind().is_empty()
    }

    /// The nodes without the newest revision.
    pub fn behind(&self) -> Vec<usize> {
        let newest = Some(Revision(self.published.len() as u64));
        let nodes = self.nodes.iter().enumerate();
        let behind = nodes.filter(|(_, node)| node.revision != newest);
        behind.map(|(index, _)| index).collect()
    }

    fn schedule(&mut self, time: u64, event: Event) {
        self.sequence += 1;
        let entry = (time.max(self.now), self.sequence, event);
        self.events.push(Reverse(entry));
    }

    fn delay(&mut self) -> u64 {
        self.rng.u64(DELAYS)
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::StoreTurn(index, number) => self.store_turn(index, number),
            Event::PeerTurn(index) => self.peer_turn(index),
            Event::StoreCall(index, sent, position, wait) => {
                self.store_call(index, sent, position, wait);
            }
            Event::StoreWaitEnd(index, sent) => self.store_wait_end(index, sent),
            Event::StoreAnswer(index, sent, answer) => self.store_answer(index, sent, answer),
            Event::Question(from, to, number) => self.question(from, to, number, false),
            Event::WaitEnd(from, to, number) => self.question(from, to, number, true),
            Event::Answer(from, to, number, parts) => self.peer_answer(from, to, number, parts),
            Event::Hold(from, to, number) => self.hold(from, to, number),
            Event::Held(from, to, number) => self.held(from, to, number),
            Event::GiveUp(from, to, number, silence) => self.give_up(from, to, number, silence),
            Event::LoadCall(from, to, number) => self.load_call(from, to, number),
            Event::LoadAnswer(from, to, number, revision) => {
                self.end_load(from, to, number, revision);
            }
            Event::LoadLate(from, number) => self.load_late(from, number),
            Event::LoadGiveUp(from, to, number) => self.end_load(from, to, number, None),
        }
    }
}

fn mark(version: u64) -> EvacuationMark {
    EvacuationMark {
        era: StoreEra(1),
        version: Version(version),
    }
}

fn document(revision: u64) -> ConfigDocument {
    ConfigDocument {
        revision: Revision(revision),
        resources: Vec::new(),
        warnings: Vec::new(),
    }
}

fn live_member(index: usize, zones: usize) -> LiveMember {
    LiveMember {
        daemon: format!("daemon-{index:04}").parse().unwrap(),
        boot: BootId(index as u64 + 1),
        address: SocketAddr::from(([10, 0, (index / 200) as u8, (index % 200) as u8 + 1], 7000)),
        zone: format!("zone-{}", index % zones).parse().unwrap(),
        region: "region-a".parse().unwrap(),
    }
}

fn member_index(address: SocketAddr) -> usize {
    let SocketAddr::V4(address) = address else {
        unreachable!("all addresses are IPv4");
    };
    let octets = address.ip().octets();
    usize::from(octets[2]) * 200 + usize::from(octets[3]) - 1
}

fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap()
}

/// A question of a node: number, asked node, request and time of sending.
type OpenQuestion = (u64, usize, WatchRequest, u64);
