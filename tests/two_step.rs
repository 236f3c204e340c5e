//! The two-step start: at most one run, and a true "not run", whatever the network does.

use std::collections::VecDeque;
use std::time::Duration;

use arbtest::arbitrary::{Result, Unstructured};
use arbtest::arbtest;
use wagtailtrack::egress::{StartAction, StartEvent, StartMachine, StartState};
use wagtailtrack::ingress::{AttemptAction, AttemptEvent, AttemptMachine, AttemptState};
use wagtailtrack::time::MonoTime;
use wagtailtrack::verdict::Verdict;

const SEEDS: std::ops::Range<u64> = 0..400;
const HOLD: Duration = Duration::from_millis(500);
const DEADLINE: Duration = Duration::from_secs(10);
const EGRESSES: usize = 3;
const STEPS: usize = 60;

#[derive(Debug, Clone, Copy, PartialEq)]
enum Word {
    Offer,
    Ready,
    Go,
    Refused,
    Answered,
    Failed,
}

/// One egress and its two directions of the network.
struct Side {
    machine: Option<StartMachine>,
    ran: u32,
    inbox: VecDeque<Word>,
    outbox: VecDeque<Word>,
}

/// One request, tried at one egress after the other.
struct World {
    now: MonoTime,
    sides: Vec<Side>,
    current: usize,
    attempt: AttemptMachine,
    verdict: Option<Verdict>,
}

impl World {
    fn open() -> Self {
        let side = || Side {
            machine: None,
            ran: 0,
            inbox: VecDeque::new(),
            outbox: VecDeque::new(),
        };
        let mut world = Self {
            now: MonoTime::from_millis(1),
            sides: (0..EGRESSES).map(|_| side()).collect(),
            current: 0,
            attempt: AttemptMachine::open(true),
            verdict: None,
        };
        world.offer();
        world
    }

    fn offer(&mut self) {
        self.attempt.handle_event(AttemptEvent::OfferLeaves);
        self.sides[self.current].inbox.push_back(Word::Offer);
    }

    /// The ingress hears `event`; an attempt that provably did not run is followed by another.
    fn ingress(&mut self, event: AttemptEvent) {
        if self.verdict.is_some() {
            return;
        }
        match self.attempt.handle_event(event) {
            AttemptAction::Wait => {}
            AttemptAction::SendGo => self.sides[self.current].inbox.push_back(Word::Go),
            AttemptAction::End(verdict) => self.end(verdict),
        }
    }

    fn end(&mut self, verdict: Verdict) {
        if verdict.allows_retry(false) && self.current + 1 < EGRESSES {
            self.current += 1;
            self.attempt = AttemptMachine::open(true);
            self.offer();
        } else {
            self.verdict = Some(verdict);
        }
    }

    fn egress(&mut self, index: usize, event: StartEvent) {
        let now = self.now;
        let side = &mut self.sides[index];
        let Some(machine) = side.machine.as_mut() else {
            return;
        };
        match machine.handle_event(event, now) {
            StartAction::Wait | StartAction::Abandon => {}
            StartAction::SendReady => side.outbox.push_back(Word::Ready),
            StartAction::Refuse(_) => side.outbox.push_back(Word::Refused),
            StartAction::Run => side.ran += 1,
        }
    }

    fn deliver_in(&mut self, index: usize) {
        match self.sides[index].inbox.pop_front() {
            Some(Word::Offer) if self.sides[index].machine.is_none() => {
                let deadline = self.now.after(DEADLINE);
                self.sides[index].machine = Some(StartMachine::open(true, HOLD, deadline));
            }
            Some(Word::Go) => self.egress(index, StartEvent::Go),
            _ => {}
        }
    }

    fn deliver_out(&mut self, index: usize) {
        let word = self.sides[index].outbox.pop_front();
        if index != self.current {
            return;
        }
        match word {
            Some(Word::Ready) => self.ingress(AttemptEvent::Ready),
            Some(Word::Refused) => self.ingress(AttemptEvent::Refused),
            Some(Word::Answered) => self.ingress(AttemptEvent::Answered),
            Some(Word::Failed) => self.ingress(AttemptEvent::Failed(Verdict::MayHaveRun)),
            _ => {}
        }
    }

    fn step(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let index = u.choose_index(EGRESSES)?;
        match u.int_in_range(0..=13)? {
            0..=2 => self.deliver_in(index),
            3..=5 => self.deliver_out(index),
            6 => self.egress(index, StartEvent::SlotGranted),
            7 => self.egress(index, StartEvent::Tick),
            8 => self.egress(index, StartEvent::QueueRefused),
            9 => self.egress(index, StartEvent::StreamLost),
            10 => self.now = self.now + Duration::from_millis(u.int_in_range(0..=700)?),
            11 => self.ingress(AttemptEvent::Lost),
            12 => self.disturb(index, u)?,
            _ => self.instance_answers(index, u.arbitrary()?),
        }
        Ok(())
    }

    /// A message is lost, doubled or overtaken; or the egress crashes and forgets.
    fn disturb(&mut self, index: usize, u: &mut Unstructured<'_>) -> Result<()> {
        let side = &mut self.sides[index];
        let queue = if u.arbitrary()? {
            &mut side.inbox
        } else {
            &mut side.outbox
        };
        match u.int_in_range(0..=3)? {
            0 => drop(queue.pop_front()),
            1 => queue.extend(queue.front().copied()),
            2 => queue.rotate_left(queue.len().min(1)),
            _ => side.inbox.clear(),
        }
        Ok(())
    }

    fn instance_answers(&mut self, index: usize, whole: bool) {
        let side = &mut self.sides[index];
        if side.ran > 0 {
            side.outbox
                .push_back(if whole { Word::Answered } else { Word::Failed });
        }
    }

    fn check(&self) {
        let runs: u32 = self.sides.iter().map(|side| side.ran).sum();
        assert!(runs <= 1, "ran {runs} times");
        assert!(
            self.verdict != Some(Verdict::NotRun) || runs == 0,
            "told not-run, yet it ran"
        );
        assert!(
            self.verdict != Some(Verdict::Ran) || runs == 1,
            "told ran, yet it did not"
        );
    }
}

#[test]
fn any_faults() {
    for seed in SEEDS {
        arbtest(|u| {
            let mut world = World::open();
            for _ in 0..STEPS {
                world.step(u)?;
                world.check();
            }
            Ok(())
        })
        .seed(seed << 32 | 0x400)
        .run();
    }
}

/// The counterexample of spec/start.pml with RESEND_AFTER_GO.
#[test]
fn silence_after_go() {
    let mut attempt = AttemptMachine::open(true);
    attempt.handle_event(AttemptEvent::OfferLeaves);
    assert_eq!(
        attempt.handle_event(AttemptEvent::Ready),
        AttemptAction::SendGo
    );
    assert_eq!(
        attempt.handle_event(AttemptEvent::Lost),
        AttemptAction::End(Verdict::MayHaveRun)
    );
}

/// The counterexample of spec/start.pml with GO_AFTER_REFUSAL.
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

/// The counterexample of spec/start.pml with RUN_WITHOUT_GO.
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

#[test]
fn paused_holder() {
    let start = MonoTime::from_millis(1);
    let mut machine = StartMachine::open(true, HOLD, start.after(DEADLINE));
    machine.handle_event(StartEvent::SlotGranted, start);
    // The task slept past its hold, and go is the first thing that it hears.
    let woken = start + HOLD + Duration::from_millis(1);
    assert!(matches!(
        machine.handle_event(StartEvent::Go, woken),
        StartAction::Refuse(_)
    ));
}

#[test]
fn silence_before_go() {
    let mut attempt = AttemptMachine::open(true);
    assert_eq!(attempt.state(), AttemptState::Unsent);
    attempt.handle_event(AttemptEvent::OfferLeaves);
    assert_eq!(
        attempt.handle_event(AttemptEvent::Lost),
        AttemptAction::End(Verdict::NotRun)
    );
    let mut repeatable = AttemptMachine::open(false);
    repeatable.handle_event(AttemptEvent::OfferLeaves);
    assert_eq!(
        repeatable.handle_event(AttemptEvent::Lost),
        AttemptAction::End(Verdict::MayHaveRun)
    );
}
