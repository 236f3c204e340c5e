//! Tests of the two-step start: a request that is not idempotent runs at most once, and its verdict
//! is correct, whatever messages are lost, duplicated, delayed or reordered.

use std::collections::VecDeque;
use std::time::Duration;

use arbtest::arbitrary::{Result, Unstructured};
use arbtest::arbtest;
use wagtailtrack::egress::{StartAction, StartEvent, StartMachine, StartState};
use wagtailtrack::execution_verdict::ExecutionVerdict;
use wagtailtrack::ingress::{AttemptAction, AttemptEvent, AttemptMachine, AttemptState};
use wagtailtrack::time::MonoTime;

const SEEDS: std::ops::Range<u64> = 0..400;
/// How long an egress holds a slot without go.
const HOLD: Duration = Duration::from_millis(500);
const DEADLINE: Duration = Duration::from_secs(10);
const EGRESSES: usize = 3;
/// Random steps of one simulation.
const STEPS: usize = 60;

/// A message between ingress and egress.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Message {
    Offer,
    Ready,
    Go,
    Refused,
    Answered,
    Failed,
}

/// One egress with the messages in flight to and from it.
struct EgressPeer {
    /// None before the offer arrives.
    machine: Option<StartMachine>,
    /// How often the instance ran the request.
    ran: u32,
    inbox: VecDeque<Message>,
    outbox: VecDeque<Message>,
}

/// A simulation of one request, offered to one egress after another.
struct Simulation {
    now: MonoTime,
    peers: Vec<EgressPeer>,
    current: usize,
    attempt: AttemptMachine,
    /// The verdict for the caller; none while attempts may follow.
    verdict: Option<ExecutionVerdict>,
}

impl Simulation {
    fn open() -> Self {
        let peer = || EgressPeer {
            machine: None,
            ran: 0,
            inbox: VecDeque::new(),
            outbox: VecDeque::new(),
        };
        let mut simulation = Self {
            now: MonoTime::from_millis(1),
            peers: (0..EGRESSES).map(|_| peer()).collect(),
            current: 0,
            attempt: AttemptMachine::open(true),
            verdict: None,
        };
        simulation.offer();
        simulation
    }

    fn offer(&mut self) {
        self.attempt.handle_event(AttemptEvent::OfferSent);
        self.peers[self.current].inbox.push_back(Message::Offer);
    }

    /// Handles `event` at the ingress. An attempt that provably did not run is followed by another.
    fn handle_at_ingress(&mut self, event: AttemptEvent) {
        if self.verdict.is_some() {
            return;
        }
        match self.attempt.handle_event(event) {
            AttemptAction::Wait => {}
            AttemptAction::SendGo => self.peers[self.current].inbox.push_back(Message::Go),
            AttemptAction::End(verdict) => self.end(verdict),
        }
    }

    fn end(&mut self, verdict: ExecutionVerdict) {
        if verdict.allows_retry(false) && self.current + 1 < EGRESSES {
            self.current += 1;
            self.attempt = AttemptMachine::open(true);
            self.offer();
        } else {
            self.verdict = Some(verdict);
        }
    }

    /// Handles `event` at the egress `index`, if the offer has arrived there.
    fn handle_at_egress(&mut self, index: usize, event: StartEvent) {
        let now = self.now;
        let peer = &mut self.peers[index];
        let Some(machine) = peer.machine.as_mut() else {
            return;
        };
        match machine.handle_event(event, now) {
            StartAction::Wait | StartAction::Abandon => {}
            StartAction::SendReady => peer.outbox.push_back(Message::Ready),
            StartAction::Refuse(_) => peer.outbox.push_back(Message::Refused),
            StartAction::Run => peer.ran += 1,
        }
    }

    fn deliver_to_egress(&mut self, index: usize) {
        match self.peers[index].inbox.pop_front() {
            Some(Message::Offer) if self.peers[index].machine.is_none() => {
                let deadline = self.now.after(DEADLINE);
                self.peers[index].machine = Some(StartMachine::open(true, HOLD, deadline));
            }
            Some(Message::Go) => self.handle_at_egress(index, StartEvent::Go),
            _ => {}
        }
    }

    fn deliver_to_ingress(&mut self, index: usize) {
        let message = self.peers[index].outbox.pop_front();
        if index != self.current {
            return;
        }
        match message {
            Some(Message::Ready) => self.handle_at_ingress(AttemptEvent::Ready),
            Some(Message::Refused) => self.handle_at_ingress(AttemptEvent::Refused),
            Some(Message::Answered) => self.handle_at_ingress(AttemptEvent::Answered),
            Some(Message::Failed) => {
                self.handle_at_ingress(AttemptEvent::Failed(ExecutionVerdict::MayHaveRun))
            }
            _ => {}
        }
    }

    fn step(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let index = u.choose_index(EGRESSES)?;
        match u.int_in_range(0..=14)? {
            0..=2 => self.deliver_to_egress(index),
            3..=5 => self.deliver_to_ingress(index),
            6 => self.handle_at_egress(index, StartEvent::SlotGranted),
            7 => self.handle_at_egress(index, StartEvent::Tick),
            8 => self.handle_at_egress(index, StartEvent::QueueRefused),
            9 => self.handle_at_egress(index, StartEvent::StreamLost),
            10 => self.now = self.now + Duration::from_millis(u.int_in_range(0..=700)?),
            11 => self.handle_at_ingress(AttemptEvent::Lost),
            12 => self.inject_fault(index, u)?,
            13 => self.handle_at_egress(index, StartEvent::EgressStopped),
            _ => self.send_response(index, u.arbitrary()?),
        }
        Ok(())
    }

    /// Drops, duplicates or reorders a message, or drops all messages to an egress.
    fn inject_fault(&mut self, index: usize, u: &mut Unstructured<'_>) -> Result<()> {
        let peer = &mut self.peers[index];
        let queue = if u.arbitrary()? {
            &mut peer.inbox
        } else {
            &mut peer.outbox
        };
        match u.int_in_range(0..=3)? {
            0 => drop(queue.pop_front()),
            1 => queue.extend(queue.front().copied()),
            2 => queue.rotate_left(queue.len().min(1)),
            _ => peer.inbox.clear(),
        }
        Ok(())
    }

    /// Sends the instance's response or failure from the egress `index`, once the request ran there.
    fn send_response(&mut self, index: usize, is_complete: bool) {
        let peer = &mut self.peers[index];
        if peer.ran > 0 {
            peer.outbox.push_back(if is_complete {
                Message::Answered
            } else {
                Message::Failed
            });
        }
    }

    /// Checks that the request ran at most once and that the verdict is correct.
    fn check(&self) {
        let runs: u32 = self.peers.iter().map(|peer| peer.ran).sum();
        assert!(runs <= 1, "ran {runs} times");
        assert!(
            self.verdict != Some(ExecutionVerdict::NotRun) || runs == 0,
            "verdict not-run, but it ran"
        );
        assert!(
            self.verdict != Some(ExecutionVerdict::Ran) || runs == 1,
            "verdict ran, but it did not run"
        );
    }
}

/// Guards against a second run or a wrong verdict under random message loss, duplication, reordering,
/// delays and timeouts.
#[test]
fn random_faults() {
    for seed in SEEDS {
        arbtest(|u| {
            let mut simulation = Simulation::open();
            for _ in 0..STEPS {
                simulation.step(u)?;
                simulation.check();
            }
            Ok(())
        })
        .seed(seed << 32 | 0x400)
        .run();
    }
}

/// Guards against a retry after go was sent and the stream fell silent: the request may have run.
/// This is the counterexample of spec/start.pml with RESEND_AFTER_GO.
#[test]
fn silence_after_go() {
    let mut attempt = AttemptMachine::open(true);
    attempt.handle_event(AttemptEvent::OfferSent);
    assert_eq!(
        attempt.handle_event(AttemptEvent::Ready),
        AttemptAction::SendGo
    );
    assert_eq!(
        attempt.handle_event(AttemptEvent::Lost),
        AttemptAction::End(ExecutionVerdict::MayHaveRun)
    );
}

/// Guards against a run after the egress refused: go arrives when the hold has expired.
/// This is the counterexample of spec/start.pml with GO_AFTER_REFUSAL.
#[test]
fn go_after_refusal() {
    let start = MonoTime::from_millis(1);
    let mut machine = StartMachine::open(true, HOLD, start.after(DEADLINE));
    assert_eq!(
        machine.handle_event(StartEvent::SlotGranted, start),
        StartAction::SendReady
    );
    let late = start + HOLD;
    assert!(matches!(
        machine.handle_event(StartEvent::Tick, late),
        StartAction::Refuse(_)
    ));
    assert_eq!(
        machine.handle_event(StartEvent::Go, late),
        StartAction::Wait
    );
    assert_eq!(machine.state(), StartState::Refused);
}

/// Guards against a run as soon as the slot is granted, before go.
/// This is the counterexample of spec/start.pml with RUN_WITHOUT_GO.
#[test]
fn slot_alone() {
    let start = MonoTime::from_millis(1);
    let mut machine = StartMachine::open(true, HOLD, start.after(DEADLINE));
    assert_eq!(
        machine.handle_event(StartEvent::SlotGranted, start),
        StartAction::SendReady
    );
    assert!(matches!(machine.state(), StartState::Held(_)));
}

/// Guards against a run on an expired hold: the egress task was paused, and go is the first event that
/// it handles afterwards.
#[test]
fn go_after_expired_hold() {
    let start = MonoTime::from_millis(1);
    let mut machine = StartMachine::open(true, HOLD, start.after(DEADLINE));
    machine.handle_event(StartEvent::SlotGranted, start);
    let resumed = start + HOLD + Duration::from_millis(1);
    assert!(matches!(
        machine.handle_event(StartEvent::Go, resumed),
        StartAction::Refuse(_)
    ));
}

/// Guards against a wrong verdict when the stream is lost after the offer: without go, a request that
/// needs it did not run, while an idempotent one may have.
#[test]
fn silence_before_go() {
    let mut attempt = AttemptMachine::open(true);
    assert_eq!(attempt.state(), AttemptState::Unsent);
    attempt.handle_event(AttemptEvent::OfferSent);
    assert_eq!(
        attempt.handle_event(AttemptEvent::Lost),
        AttemptAction::End(ExecutionVerdict::NotRun)
    );
    let mut idempotent = AttemptMachine::open(false);
    idempotent.handle_event(AttemptEvent::OfferSent);
    assert_eq!(
        idempotent.handle_event(AttemptEvent::Lost),
        AttemptAction::End(ExecutionVerdict::MayHaveRun)
    );
}
