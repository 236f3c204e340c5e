//! A small network of nodes in virtual time, with seeded faults.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use fastrand::Rng;
use wagtailtrack::ids::{BootId, DaemonId};
use wagtailtrack::limits::{
    AccountSplit, AdmittedToken, HomeCandidate, HomeMap, LeasePlan, PlannedLoan, PoolCell,
    SHARE_PREFIX, ShareSet, WaitEnd,
};
use wagtailtrack::platform::{CommitOutcome, TableRow};
use wagtailtrack::resource::RateLimit;
use wagtailtrack::settings::LimitsSettings;
use wagtailtrack::wire::{GrantAnswer, GrantAsk, LoanAnswer, LoanAsk, LoanReturn};

use super::virtual_node::{NodeStep, TableStep, VirtualClock, VirtualNode};
use super::{MemoryTable, RateAudit};

const MILLI: u64 = 1_000;
pub const SECOND: u64 = 1_000_000;

/// How often and how badly things go wrong.
#[derive(Debug, Clone)]
pub struct FaultPlan {
    /// Lost or doubled, in percent of the messages.
    pub lossy_percent: u64,
    /// Longest delay of a message, in microseconds.
    pub delay: u64,
    /// Mean time between pauses of some node, in microseconds; 0 for none.
    pub pause_every: u64,
    /// Mean time between changes of some node's view of the fleet; 0 for none.
    pub flip_every: u64,
    /// Mean time between replacements of some node; 0 for none.
    pub replace_every: u64,
    /// From when to when the platform is away, in seconds.
    pub away: (u64, u64),
}

impl FaultPlan {
    pub const fn none() -> Self {
        Self {
            lossy_percent: 0,
            delay: 2 * MILLI,
            pause_every: 0,
            flip_every: 0,
            replace_every: 0,
            away: (0, 0),
        }
    }
}

#[derive(Debug, Clone)]
enum Letter {
    Tick,
    Request(usize),
    GiveBack(BootId, AdmittedToken, usize),
    LoanAsk(usize, u64, LoanAsk),
    LoanAnswer(BootId, DaemonId, u64, LoanAnswer),
    LoanLate(BootId, DaemonId, u64),
    Return(LoanReturn),
    GrantAsk(usize, u64, GrantAsk),
    GrantAnswer(BootId, u64, GrantAnswer),
    GrantLate(BootId, u64),
    Rows(BootId, u64, Vec<TableRow>),
    Commit(usize, u64, LeasePlan),
    Committed(BootId, u64, LeasePlan, CommitOutcome),
    CommitLate(BootId, u64, LeasePlan),
}

/// Nodes, the table, messages under way and what was admitted.
pub struct VirtualFleet {
    pub nodes: Vec<VirtualNode>,
    pub table: MemoryTable,
    pub rng: Rng,
    pub faults: FaultPlan,
    pub limits: Vec<RateLimit>,
    /// Requests a second that each node gets of each account.
    pub demand: Vec<f64>,
    pub audit: RateAudit,
    /// Shares seen live in two pools.
    pub lent_twice: u64,
    pub now: u64,
    pub tick: u64,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    letters: BTreeMap<u64, (usize, Letter)>,
    next_letter: u64,
    settings: LimitsSettings,
}

impl VirtualFleet {
    pub fn open(seed: u64, count: usize, settings: &LimitsSettings, faults: FaultPlan) -> Self {
        let mut fleet = Self {
            nodes: Vec::new(),
            table: MemoryTable::open(),
            rng: Rng::with_seed(seed),
            faults,
            limits: Vec::new(),
            demand: Vec::new(),
            audit: RateAudit::default(),
            lent_twice: 0,
            now: 0,
            tick: 20 * MILLI,
            queue: BinaryHeap::new(),
            letters: BTreeMap::new(),
            next_letter: 0,
            settings: settings.clone(),
        };
        for index in 0..count {
            let node = fleet.fresh_node(index);
            fleet.nodes.push(node);
            fleet.post(index, index as u64 * MILLI, Letter::Tick);
        }
        for index in 0..count {
            fleet.set_view(index, (0..count).collect());
        }
        fleet
    }

    pub fn add_account(&mut self, limit: RateLimit, demand_per_node: f64) {
        self.limits.push(limit);
        self.demand.push(demand_per_node);
        for node in 0..self.nodes.len() {
            self.next_request(node, self.limits.len() - 1);
        }
    }

    pub fn run_until(&mut self, end: u64) {
        while let Some(Reverse((at, number))) = self.queue.peek().copied()
            && at < end
        {
            self.queue.pop();
            let (node, letter) = self.letters.remove(&number).unwrap();
            let paused_until = self.nodes[node].paused_until;
            if paused_until > at && !matches!(letter, Letter::Commit(..)) {
                self.post_at(node, paused_until, letter);
                continue;
            }
            self.now = at;
            self.handle(node, letter);
        }
        self.now = end;
    }

    /// A process that replaces the one on slot `index`, which is gone with all it knew.
    pub fn replace(&mut self, index: usize) {
        self.nodes[index] = self.fresh_node(index);
        self.set_view(index, (0..self.nodes.len()).collect());
    }

    pub fn set_view(&mut self, index: usize, members: Vec<usize>) {
        let candidates = members.into_iter().map(|member| HomeCandidate {
            daemon: format!("vm-{member}").parse().unwrap(),
            address: format!("127.0.0.1:{}", 1_000 + member).parse().unwrap(),
        });
        let map = HomeMap::of(candidates.collect());
        let now = self.nodes[index].clock.at(self.now);
        self.nodes[index].follow(map, now);
    }

    fn fresh_node(&mut self, index: usize) -> VirtualNode {
        let clock = VirtualClock {
            origin: self.rng.u64(0..1_000 * SECOND),
            speed: self.rng.u64(985..=1_000),
        };
        let boot = self.rng.u64(1..u64::MAX / 2);
        VirtualNode::open(index, boot, clock, &self.settings)
    }

    fn handle(&mut self, index: usize, letter: Letter) {
        let true_now = self.now;
        let node = &mut self.nodes[index];
        let now = node.clock.at(true_now);
        match letter {
            Letter::Tick => self.tick(index),
            Letter::Request(account) => self.request(index, account),
            Letter::GiveBack(boot, token, admission) if boot == node.boot => {
                node.purse.give_back(&token, now);
                self.audit.withdraw(admission);
            }
            Letter::LoanAsk(from, number, ask) => {
                let answer = node.lender.lend(&ask, now);
                let lender = node.daemon.clone();
                self.send(
                    from,
                    Letter::LoanAnswer(ask.borrower, lender, number, answer),
                );
            }
            Letter::LoanAnswer(boot, lender, number, answer) if boot == node.boot => {
                let ledger = &mut node.ledger;
                node.book.answer(&lender, number, &answer, ledger, now);
            }
            Letter::LoanLate(boot, lender, number) if boot == node.boot => {
                node.book.fail(&lender, number, now);
            }
            Letter::Return(back) => node.lender.take_back(&back, now),
            Letter::GrantAsk(from, number, ask) => {
                let limits = &self.limits;
                let rate_of = |account: &_| {
                    limits
                        .iter()
                        .find(|limit| limit.account == *account)
                        .cloned()
                };
                let answer = node.ledger.grant(&ask, &rate_of, now);
                self.send(from, Letter::GrantAnswer(ask.ingress, number, answer));
            }
            Letter::GrantAnswer(boot, number, answer) if boot == node.boot => {
                if let Some(planned) = node.asked.remove(&number) {
                    let ends = node.purse.answer(&planned, &answer, now);
                    self.finish(index, ends);
                    self.ask(index);
                }
            }
            Letter::GrantLate(boot, number) if boot == node.boot => {
                if let Some(planned) = node.asked.remove(&number) {
                    node.purse.fail(&planned, now);
                    self.ask(index);
                }
            }
            Letter::Rows(boot, round, rows) if boot == node.boot && round == node.round => {
                self.observe(index, &rows);
            }
            Letter::Commit(from, round, plan) => self.commit(from, round, plan),
            Letter::Committed(boot, round, plan, outcome)
                if boot == node.boot && round == node.round =>
            {
                node.step = TableStep::Idle;
                node.round += 1;
                if outcome == CommitOutcome::Committed {
                    node.renewed = Some(plan.sent);
                    let changes = node.holder.committed(&plan, now);
                    node.apply(changes, now);
                }
            }
            Letter::CommitLate(boot, round, plan) if boot == node.boot && round == node.round => {
                node.step = TableStep::Idle;
                node.round += 1;
                node.holder.uncertain(plan);
            }
            _ => {}
        }
    }

    fn tick(&mut self, index: usize) {
        self.strike();
        if self.rng.u8(0..4) == 0 {
            self.watch_pools();
        }
        let node = &mut self.nodes[index];
        let now = node.clock.at(self.now);
        let changes = node.holder.expire(now);
        node.apply(changes, now);
        let planned = node.book.due(&node.ledger, now);
        let boot = node.boot;
        for PlannedLoan {
            lender,
            number,
            ask,
        } in planned
        {
            let late = Letter::LoanLate(boot, lender.clone(), number);
            self.post(index, self.timeout(500), late);
            self.send(slot_of(&lender), Letter::LoanAsk(index, number, ask));
        }
        if self.rng.u8(0..5) == 0 {
            self.close_cells(index);
        }
        let ends = self.nodes[index].purse.tick(now);
        self.finish(index, ends);
        self.ask(index);
        self.lease(index);
        self.post(index, self.tick, Letter::Tick);
    }

    fn close_cells(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        let now = node.clock.at(self.now);
        let own: Vec<_> = node.map.cells_of(&node.daemon).collect();
        let borrower = node.boot;
        node.ledger.settle(now);
        let mut returns = Vec::new();
        for cell in node.ledger.cells() {
            if own.contains(&cell) {
                node.ledger.reopen(cell);
            } else {
                returns.extend(node.ledger.close(cell, now));
            }
        }
        for (lender, loan) in returns {
            let loans = vec![loan];
            self.send(
                slot_of(&lender),
                Letter::Return(LoanReturn { borrower, loans }),
            );
        }
    }

    fn ask(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        let now = node.clock.at(self.now);
        for planned in node.purse.plan(&node.map, now) {
            let number = self.next_letter;
            self.next_letter += 1;
            let node = &mut self.nodes[index];
            let home = slot_of(&planned.home.daemon);
            let (boot, ask) = (node.boot, planned.ask.clone());
            node.asked.insert(number, planned);
            self.post(index, self.timeout(200), Letter::GrantLate(boot, number));
            self.send(home, Letter::GrantAsk(index, number, ask));
        }
    }

    fn request(&mut self, index: usize, account: usize) {
        self.next_request(index, account);
        let limit = self.limits[account].clone();
        let request = self.audit.request(account, self.now);
        let node = &mut self.nodes[index];
        let now = node.clock.at(self.now);
        match node.admit(&limit, request, now) {
            NodeStep::Admitted(token) => self.admitted(index, request, token),
            NodeStep::Refused => self.audit.refuse(request),
            NodeStep::Waiting => self.ask(index),
        }
    }

    fn finish(&mut self, index: usize, ends: Vec<WaitEnd>) {
        for end in ends {
            match self.nodes[index].end(end) {
                (request, Some(token)) => self.admitted(index, request, token),
                (request, None) => self.audit.refuse(request),
            }
        }
    }

    fn admitted(&mut self, index: usize, request: usize, token: AdmittedToken) {
        let admission = self.audit.admit(request, self.now);
        if self.rng.u8(0..20) == 0 {
            let boot = self.nodes[index].boot;
            let wait = self.rng.u64(0..SECOND);
            self.post(index, wait, Letter::GiveBack(boot, token, admission));
        }
    }

    fn next_request(&mut self, node: usize, account: usize) {
        let demand = self.demand[account];
        if demand > 0.0 {
            let wait = -(1.0 - self.rng.f64()).ln() / demand * SECOND as f64;
            self.post(node, wait as u64, Letter::Request(account));
        }
    }

    /// One step with the table: a scan, or after it a commit.
    fn lease(&mut self, index: usize) {
        let away = self.is_away();
        let node = &self.nodes[index];
        if node.step != TableStep::Idle || away || self.rng.u8(0..5) > 0 {
            return;
        }
        let rows = Letter::Rows(node.boot, node.round, self.table.rows(SHARE_PREFIX));
        self.send(index, rows);
        self.nodes[index].step = TableStep::Scanning;
        let (boot, round) = (self.nodes[index].boot, self.nodes[index].round);
        // A scan that is never answered ends as an empty round.
        let late = Letter::Committed(boot, round, self.no_plan(index), nothing_done());
        self.post(index, 3 * SECOND, late);
    }

    fn observe(&mut self, index: usize, rows: &[TableRow]) {
        let node = &mut self.nodes[index];
        let now = node.clock.at(self.now);
        if node.step != TableStep::Scanning {
            return;
        }
        node.step = TableStep::Idle;
        node.round += 1;
        let changes = node.holder.observe(rows, now);
        node.apply(changes, now);
        let renew = node.settings.renew.get();
        let is_due = node.renewed.is_none_or(|at| now.since(at) >= renew);
        let most = node
            .settings
            .shares_per_daemon
            .min(node.holder.held().len() + 3);
        if !is_due && node.holder.free(now).is_empty() {
            return;
        }
        let Some(plan) = node.holder.plan(most, now) else {
            return;
        };
        node.step = TableStep::Committing;
        let (boot, round) = (node.boot, node.round);
        self.post(
            index,
            self.timeout(2_000),
            Letter::CommitLate(boot, round, plan.clone()),
        );
        self.send(index, Letter::Commit(index, round, plan));
    }

    fn commit(&mut self, from: usize, round: u64, plan: LeasePlan) {
        if self.is_away() {
            return;
        }
        let outcome = self.table.apply(&plan.transaction());
        let boot = plan.row.boot;
        self.send(from, Letter::Committed(boot, round, plan, outcome));
    }

    fn no_plan(&mut self, index: usize) -> LeasePlan {
        let node = &self.nodes[index];
        let row = wagtailtrack::limits::ShareRow {
            daemon: node.daemon.clone(),
            address: "127.0.0.1:1".parse().unwrap(),
            boot: node.boot,
            nonce: 0,
            lease: node.settings.lease,
            released: false,
        };
        let now = node.clock.at(self.now);
        LeasePlan::of(row, Vec::new(), Default::default(), now)
    }

    /// Pauses, view changes and replacements, each with its mean interval.
    fn strike(&mut self) {
        let count = self.nodes.len();
        let share = self.tick / count as u64;
        let index = self.rng.usize(0..count);
        if self.happens(self.faults.pause_every, share) {
            let longest = if self.rng.bool() { SECOND } else { 12 * SECOND };
            self.nodes[index].paused_until = self.now + self.rng.u64(0..longest);
        }
        if self.happens(self.faults.flip_every, share) {
            let viewer = self.rng.usize(0..count);
            let mut view: Vec<_> = (0..count).filter(|_| self.rng.u8(0..3) > 0).collect();
            view.push(viewer);
            self.set_view(viewer, view);
        }
        if self.happens(self.faults.replace_every, share) {
            self.replace(index);
        }
    }

    fn is_away(&self) -> bool {
        let (from, to) = self.faults.away;
        (from * SECOND..to * SECOND).contains(&self.now)
    }

    /// Counts shares that are live in two pools at this true time, for the accounts' shards.
    fn watch_pools(&mut self) {
        for limit in &self.limits {
            let shard = AccountSplit::of(&limit.account, limit.burst, self.settings.shares).shard;
            for half in [0, 1] {
                let mut pooled = ShareSet::EMPTY;
                for node in &self.nodes {
                    let now = node.clock.at(self.now);
                    let held = node.ledger.held(PoolCell { shard, half }, now);
                    self.lent_twice += u64::from(held.and(pooled).len());
                    pooled = pooled.or(held);
                }
            }
        }
    }

    fn happens(&mut self, every: u64, share: u64) -> bool {
        every > 0 && self.rng.u64(0..every) < share
    }

    fn timeout(&self, millis: u64) -> u64 {
        let is_faulty = self.faults.lossy_percent > 0;
        let patience = if is_faulty { 6 } else { 1 };
        millis * MILLI * patience
    }

    /// Sends over the network, which loses, doubles, delays and reorders.
    fn send(&mut self, to: usize, letter: Letter) {
        let lossy = self.faults.lossy_percent;
        if self.rng.u64(0..100) < lossy {
            return;
        }
        if self.rng.u64(0..100) < lossy {
            let delay = self.delay();
            self.post(to, delay, letter.clone());
        }
        let delay = self.delay();
        self.post(to, delay, letter);
    }

    fn delay(&mut self) -> u64 {
        let usual = 2 * MILLI;
        let is_late = self.rng.u64(0..100) < self.faults.lossy_percent;
        let longest = if is_late { self.faults.delay } else { usual };
        self.rng.u64(100..=longest.max(usual))
    }

    fn post(&mut self, to: usize, delay: u64, letter: Letter) {
        self.post_at(to, self.now + delay, letter);
    }

    fn post_at(&mut self, to: usize, at: u64, letter: Letter) {
        let number = self.next_letter;
        self.next_letter += 1;
        self.queue.push(Reverse((at, number)));
        self.letters.insert(number, (to, letter));
    }
}

fn slot_of(daemon: &DaemonId) -> usize {
    daemon.as_str()[3..].parse().unwrap()
}

fn nothing_done() -> CommitOutcome {
    CommitOutcome::Conflict(wagtailtrack::platform::RowKey(String::new()))
}
