//! Steps of the simulated daemons and their store.

use wagtailtrack::config::{
    DocumentReading, DocumentUpdate, PeerStep, PeerUpdate, PeerWatcher, StoreStep, WatchResponse,
    WatcherStep,
};
use wagtailtrack::evacuation::{EvacuationReport, EvacuationUpdate};
use wagtailtrack::ids::{BootId, Revision, StoreEra, Version};
use wagtailtrack::platform::PlatformError;
use wagtailtrack::time::MonoTime;
use wagtailtrack::wire::{WatchReply, WatchRequest};

use super::{AnswerParts, Event, STORE_TIMEOUT, WatchFleet, document, mark, member_index, micros};

impl WatchFleet {
    /// Makes the driver of the store take its next step at `time`. While it waits it may be woken
    /// earlier.
    pub(super) fn schedule_store_turn(&mut self, index: usize, time: u64, is_wait: bool) {
        let turn = &mut self.nodes[index].store_turn;
        *turn = (turn.0 + 1, is_wait);
        let number = turn.0;
        self.schedule(time, Event::StoreTurn(index, number));
    }

    pub(super) fn store_turn(&mut self, index: usize, number: u64) {
        let now = self.now;
        let node = &mut self.nodes[index];
        if node.store_turn.0 != number {
            return;
        }
        node.store_turn.1 = false;
        let local = node.local(now);
        let status = node.status(now);
        match node.schedule.next_step(&status, local, &mut node.rng) {
            StoreStep::Wait(span) => {
                let wake = now + micros(span);
                return self.schedule_store_turn(index, wake, true);
            }
            StoreStep::Watch => {}
            StoreStep::Read => node.store_watcher.read_next(),
        }
        let step = node.store_watcher.next_step(local);
        let (position, wait) = match step {
            WatcherStep::Pause(until) => {
                let wake = now + micros(until.remaining(local));
                return self.schedule_store_turn(index, wake, false);
            }
            WatcherStep::Read => (None, 0),
            WatcherStep::Watch(position, wait) => (Some(position.0), micros(wait)),
        };
        self.store_calls += 1;
        let at = now + self.delay();
        self.schedule(at, Event::StoreCall(index, now, position, wait));
    }

    pub(super) fn store_call(&mut self, index: usize, sent: u64, position: Option<u64>, wait: u64) {
        let newest = self.version();
        if position == Some(newest) && !self.nodes[index].is_away {
            self.store_waits.push((index, sent));
            self.schedule(self.now + wait, Event::StoreWaitEnd(index, sent));
            return;
        }
        self.answer_store_call(index, sent);
    }

    pub(super) fn store_wait_end(&mut self, index: usize, sent: u64) {
        let before = self.store_waits.len();
        self.store_waits.retain(|wait| *wait != (index, sent));
        if self.store_waits.len() < before {
            self.answer_store_call(index, sent);
        }
    }

    pub(super) fn answer_store_call(&mut self, index: usize, sent: u64) {
        let at = self.now + self.delay();
        let newest = self.published.len() as u64;
        let answer = match self.nodes[index].is_away {
            // Some refusals come at once, others never.
            true if self.rng.bool() => {
                return self.schedule(at, Event::StoreAnswer(index, sent, None));
            }
            true => {
                let end = self.now + STORE_TIMEOUT;
                return self.schedule(end, Event::StoreAnswer(index, sent, None));
            }
            false => Some((newest, self.now / 1_000, self.version())),
        };
        self.schedule(at, Event::StoreAnswer(index, sent, answer));
    }

    pub(super) fn store_answer(
        &mut self,
        index: usize,
        sent: u64,
        answer: Option<(u64, u64, u64)>,
    ) {
        let now = self.now;
        let zones = answer.map(|(_, _, version)| self.zones_at(version));
        let node = &mut self.nodes[index];
        let response = match answer {
            None => Err(PlatformError::Unavailable("refused".to_owned())),
            Some((revision, store_millis, version)) => {
                Ok(WatchResponse::Reading(DocumentReading {
                    document: match node.revision == Some(Revision(revision)) {
                        true => DocumentUpdate::Unchanged,
                        false => DocumentUpdate::New(document(revision)),
                    },
                    evacuations: EvacuationUpdate::Whole(zones.unwrap_or_default()),
                    era: StoreEra(1),
                    position: Version(version),
                    store_millis,
                }))
            }
        };
        let (sent, local) = (node.local(sent), node.local(now));
        let update = node
            .store_watcher
            .answered(sent, local, response, &mut node.rng);
        let kept = node.kept.clone();
        if let Some(update) = update {
            node.evacuations
                .apply_reading(update.mark, &update.evacuations, update.answered_at);
            if let Some(document) = update.document {
                node.revision = node.revision.max(Some(document.revision));
            }
            let revision = node.revision;
            self.confirm(index, revision, update.confirmed_at);
        }
        for (from, number) in kept {
            self.question(from, index, number, false);
        }
        self.schedule_store_turn(index, now, false);
    }

    pub(super) fn peer_turn(&mut self, index: usize) {
        let now = self.now;
        let node = &mut self.nodes[index];
        let local = node.local(now);
        if node.tree.is_root() && node.store_watcher.failures() == 0 {
            return self.schedule(now + 250_000, Event::PeerTurn(index));
        }
        match node
            .peer_watcher
            .next_step(&node.tree, node.revision, local)
        {
            PeerStep::Pause(until) => {
                let wake = now + micros(until.remaining(local)).max(1);
                self.schedule(wake, Event::PeerTurn(index));
            }
            PeerStep::Ask(peer, request, silence) => {
                let request = WatchRequest {
                    evacuations: node.evacuations.digest(),
                    ..request
                };
                let to = member_index(peer);
                node.asked += 1;
                let number = node.asked;
                node.question = Some((number, to, request, now));
                let is_other_zone = self.members[index].zone != self.members[to].zone;
                node.zone_questions += u64::from(is_other_zone);
                let at = now + self.delay();
                if self.reaches(index, to) {
                    self.schedule(at, Event::Question(index, to, number));
                }
                self.nodes[index].heard_at = now;
                let silence = micros(silence);
                self.schedule(now + silence, Event::GiveUp(index, to, number, silence));
            }
        }
    }

    /// Answers a question if there is news or its wait is over; keeps it otherwise.
    pub(super) fn question(&mut self, from: usize, to: usize, number: u64, is_over: bool) {
        let Some((asked, _, request, _)) = self.nodes[from].question.filter(|one| one.0 == number)
        else {
            return;
        };
        debug_assert_eq!(asked, number);
        let now = self.now;
        let is_kept = self.nodes[to].kept.contains(&(from, number));
        if is_over && !is_kept {
            return;
        }
        if !is_kept {
            self.nodes[to].questions += 1;
        }
        if is_over || self.nodes[to].has_news(&request, now) {
            self.nodes[to].kept.retain(|kept| *kept != (from, number));
            let parts = self.nodes[to].answer(now);
            let at = now + self.delay();
            if self.reaches(to, from) {
                self.schedule(at, Event::Answer(from, to, number, parts));
            }
            return;
        }
        if !is_kept {
            self.nodes[to].kept.push((from, number));
            let end = now + request.wait_micros;
            self.schedule(end, Event::WaitEnd(from, to, number));
            let hold = now + request.held_interval_micros;
            self.schedule(hold, Event::Hold(from, to, number));
        }
    }

    /// Tells the asking node that its answer is held back, as long as it is.
    pub(super) fn hold(&mut self, from: usize, to: usize, number: u64) {
        let question = self.nodes[from].question;
        let Some((_, _, request, _)) = question.filter(|one| one.0 == number) else {
            return;
        };
        if !self.nodes[to].kept.contains(&(from, number)) {
            return;
        }
        let at = self.now + self.delay();
        if self.reaches(to, from) {
            self.schedule(at, Event::Held(from, to, number));
        }
        let next = self.now + request.held_interval_micros;
        self.schedule(next, Event::Hold(from, to, number));
    }

    pub(super) fn held(&mut self, from: usize, to: usize, number: u64) {
        let node = &mut self.nodes[from];
        if node
            .question
            .is_some_and(|one| (one.0, one.1) == (number, to))
        {
            node.heard_at = self.now;
        }
    }

    pub(super) fn peer_answer(&mut self, from: usize, to: usize, number: u64, parts: AnswerParts) {
        let reply = WatchReply {
            boot: BootId(to as u64 + 1),
            clock_micros: parts.0,
            revision: parts.1.map(Revision),
            age_micros: parts.2,
            store_lost: parts.3,
            evacuations: parts.4.map(|version| EvacuationReport {
                mark: mark(version),
                zones: self.zones_at(version),
                age_micros: 0,
            }),
        };
        self.end_question(from, to, number, Some(reply));
    }

    pub(super) fn give_up(&mut self, from: usize, to: usize, number: u64, silence: u64) {
        let node = &self.nodes[from];
        let end = node.heard_at + silence;
        if node.question.is_some_and(|one| one.0 == number) && end > self.now {
            return self.schedule(end, Event::GiveUp(from, to, number, silence));
        }
        self.end_question(from, to, number, None);
    }

    /// Makes the driver of the store look at its schedule at once if it only waits.
    fn wake_store_driver(&mut self, index: usize) {
        if self.nodes[index].store_turn.1 {
            self.schedule_store_turn(index, self.now, false);
        }
    }

    fn end_question(&mut self, from: usize, to: usize, number: u64, reply: Option<WatchReply>) {
        let now = self.now;
        let node = &mut self.nodes[from];
        let Some((_, _, _, sent)) = node.question.take_if(|one| one.0 == number) else {
            return;
        };
        let (sent, local) = (node.local(sent), node.local(now));
        if let Some(report) = reply.as_ref().and_then(|reply| reply.evacuations.as_ref()) {
            node.evacuations.merge_report(report, sent);
        }
        let peer = self.members[to].address;
        let is_answered = reply.is_some();
        let update = node
            .peer_watcher
            .answered(peer, sent, local, reply, node.confirmed_at);
        if !is_answered {
            self.wake_store_driver(from);
        }
        let revision = self.nodes[from].revision;
        match update {
            Some(update) if revision < Some(update.revision) => self.load(from, to, update),
            Some(update) => {
                self.confirm(from, Some(update.revision), update.confirmed_at);
                self.schedule(now, Event::PeerTurn(from));
            }
            None => self.schedule(now, Event::PeerTurn(from)),
        }
    }

    /// Requests the document from the node that told of a newer revision.
    fn load(&mut self, from: usize, to: usize, update: PeerUpdate) {
        let node = &mut self.nodes[from];
        node.asked += 1;
        let number = node.asked;
        node.load = Some((number, update));
        let at = self.now + self.delay();
        if self.reaches(from, to) {
            self.schedule(at, Event::LoadCall(from, to, number));
        }
        let end = self.now + micros(PeerWatcher::load_silence());
        self.schedule(end, Event::LoadGiveUp(from, to, number));
        let late = self.now + micros(PeerWatcher::load_patience());
        self.schedule(late, Event::LoadLate(from, number));
    }

    pub(super) fn load_late(&mut self, from: usize, number: u64) {
        let node = &mut self.nodes[from];
        if node.load.is_some_and(|load| load.0 == number) {
            node.peer_watcher.load_late();
            self.wake_store_driver(from);
        }
    }

    pub(super) fn load_call(&mut self, from: usize, to: usize, number: u64) {
        let at = self.now + self.delay();
        if self.reaches(to, from) {
            let revision = self.nodes[to].revision.map(|revision| revision.0);
            self.schedule(at, Event::LoadAnswer(from, to, number, revision));
        }
    }

    pub(super) fn end_load(&mut self, from: usize, to: usize, number: u64, revision: Option<u64>) {
        let now = self.now;
        let node = &mut self.nodes[from];
        let Some((_, update)) = node.load.take_if(|load| load.0 == number) else {
            return;
        };
        debug_assert_ne!(from, to);
        let local = node.local(now);
        node.peer_watcher.load_ended(revision.is_some(), local);
        if revision.is_none() {
            self.wake_store_driver(from);
        }
        let node = &mut self.nodes[from];
        node.revision = node.revision.max(revision.map(Revision));
        if node.revision >= Some(update.revision) {
            self.confirm(from, Some(update.revision), update.confirmed_at);
        }
        self.schedule(self.now, Event::PeerTurn(from));
    }

    /// Records a confirmation, after checking that it is true, and answers those who wait for it.
    fn confirm(&mut self, index: usize, revision: Option<Revision>, time: Option<MonoTime>) {
        let node = &mut self.nodes[index];
        if let (Some(revision), Some(time)) = (revision, time) {
            let true_time = time.micros().saturating_sub(node.offset);
            let next = self.published.get(revision.0 as usize);
            assert!(
                next.is_none_or(|next| true_time <= *next),
                "node {index} takes revision {revision} for the newest at {true_time}, after {next:?}"
            );
            node.confirmed_at = node.confirmed_at.max(Some(time));
        }
        for (from, number) in self.nodes[index].kept.clone() {
            self.question(from, index, number, false);
        }
    }
}
