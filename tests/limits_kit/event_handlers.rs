//! Handlers of the events in a simulated fleet.

use std::time::Duration;

use wagtailtrack::ids::DaemonId;
use wagtailtrack::limits::{
    AccountPlacement, AdmittedToken, LeasePlan, LeaseRow, LoanCall, PoolKey, RateRefusal,
    SHARE_PREFIX, WaitOutcome,
};
use wagtailtrack::platform::{CommitOutcome, RowKey, TableRow};
use wagtailtrack::resource::RateLimit;
use wagtailtrack::wire::{LoanRequest, LoanReturn};

use super::flood_callers::FloodCaller;
use super::node_event::NodeEvent;
use super::simulated_node::{ADMIT_WAIT, NodeAdmission, TablePhase};
use super::{RETURN_DELAY, SECOND, SimulatedFleet};

impl SimulatedFleet {
    pub(super) fn handle(&mut self, index: usize, event: NodeEvent) {
        self.sender = index;
        let true_now = self.now;
        let node = &mut self.nodes[index];
        let now = node.clock.at(true_now);
        match event {
            NodeEvent::Tick => self.tick(index),
            NodeEvent::Request(account) => {
                self.next_request(index, account);
                self.request(index, account, self.callers.new_caller(self.now));
            }
            NodeEvent::RequestAgain(account, caller) => {
                let arrived = self.now;
                self.request(index, account, FloodCaller { arrived, ..caller });
            }
            NodeEvent::GiveBack(boot, token, admission) if boot == node.boot => {
                node.controller.give_back(&token, now);
                self.audit.give_back(admission);
            }
            NodeEvent::LoanRequest(from, number, ask) => {
                match node.lender.unconfirmed_borrower(&ask, now) {
                    Some(before) => {
                        let boot = node.boot;
                        self.send(from, NodeEvent::Identify(index, boot, before, number, ask));
                    }
                    None => self.lend(index, from, number, &ask),
                }
            }
            NodeEvent::Identify(lender, its_boot, before, number, ask) => {
                let who = (index, node.boot);
                let answer = NodeEvent::Identity(its_boot, before, who, number, ask);
                self.send(lender, answer);
            }
            NodeEvent::Identity(boot, before, (from, found), number, ask) if boot == node.boot => {
                if found == ask.borrower {
                    node.lender
                        .replace_borrower(ask.address, before, found, now);
                }
                self.lend(index, from, number, &ask);
            }
            NodeEvent::LoanReply(boot, lender, number, answer) if boot == node.boot => {
                let issuer = &mut node.issuer;
                node.borrower
                    .record_answer(&lender, number, &answer, issuer, now);
            }
            NodeEvent::LoanTimeout(boot, lender, number) if boot == node.boot => {
                node.borrower.record_failure(&lender, number, now);
            }
            NodeEvent::Return(back) => node.lender.accept_return(&back, now),
            NodeEvent::GrantRequest(from, number, ask) => {
                let limits = &self.limits;
                let rate_of = |account: &_| {
                    limits
                        .iter()
                        .find(|limit| limit.account == *account)
                        .cloned()
                };
                let mut has_new_pools = false;
                for want in &ask.demands {
                    let Some(limit) = rate_of(&want.account) else {
                        continue;
                    };
                    let total = node.settings.shares;
                    let shard = AccountPlacement::new(&want.account, limit.burst, total).shard;
                    let half = want.half & 1;
                    let key = PoolKey { shard, half };
                    let (map, daemon) = (&node.map, &node.daemon);
                    has_new_pools |= match ask.ingress == node.boot {
                        true => node.active.record_own_request(key, map, daemon, now),
                        false => node.active.record_request(key, map, daemon, now),
                    };
                }
                if has_new_pools {
                    node.update_pools(now);
                }
                let answer = node.issuer.grant(&ask, &rate_of, now);
                self.send(from, NodeEvent::GrantReply(ask.ingress, number, answer));
            }
            NodeEvent::GrantReply(boot, number, answer) if boot == node.boot => {
                if let Some(call) = node.pending_calls.remove(&number) {
                    let outcomes = node.controller.record_answer(&call, &answer, now);
                    self.record_outcomes(index, outcomes);
                    self.send_grant_calls(index);
                }
            }
            NodeEvent::GrantTimeout(boot, number) if boot == node.boot => {
                if let Some(call) = node.pending_calls.remove(&number) {
                    node.controller.record_failure(&call, now);
                    self.send_grant_calls(index);
                }
            }
            NodeEvent::ScanResult(boot, round, rows)
                if boot == node.boot && round == node.round =>
            {
                self.observe(index, &rows);
            }
            NodeEvent::Commit(from, round, plan) => self.commit(from, round, plan),
            NodeEvent::Committed(boot, round, plan, outcome)
                if boot == node.boot && round == node.round =>
            {
                node.phase = TablePhase::Idle;
                node.round += 1;
                if outcome == CommitOutcome::Committed {
                    node.renewed = Some(plan.sent);
                    let changes = node.holder.record_commit(&plan, now);
                    node.apply_lease_changes(changes, now);
                }
            }
            NodeEvent::CommitTimeout(boot, round, plan)
                if boot == node.boot && round == node.round =>
            {
                node.phase = TablePhase::Idle;
                node.round += 1;
                node.holder.record_uncertain(plan);
            }
            _ => {}
        }
    }

    fn lend(&mut self, index: usize, to: usize, number: u64, ask: &LoanRequest) {
        let node = &mut self.nodes[index];
        let now = node.clock.at(self.now);
        let answer = node.lender.lend(ask, now);
        let lender = node.daemon.clone();
        self.send(
            to,
            NodeEvent::LoanReply(ask.borrower, lender, number, answer),
        );
    }

    fn tick(&mut self, index: usize) {
        self.inject_faults();
        if self.rng.u8(0..4) == 0 {
            self.count_double_lent();
        }
        let node = &mut self.nodes[index];
        let now = node.clock.at(self.now);
        let changes = node.holder.expire(now);
        node.apply_lease_changes(changes, now);
        let calls = node.borrower.due_calls(&node.issuer, now);
        let boot = node.boot;
        for LoanCall {
            lender,
            number,
            ask,
        } in calls
        {
            let timeout = NodeEvent::LoanTimeout(boot, lender.clone(), number);
            self.schedule(index, self.timeout(500), timeout);
            self.send(
                node_index(&lender),
                NodeEvent::LoanRequest(index, number, ask),
            );
        }
        if self.rng.u8(0..5) == 0 {
            self.close_pools(index);
        }
        let outcomes = self.nodes[index].controller.tick(now);
        self.record_outcomes(index, outcomes);
        self.send_grant_calls(index);
        self.lease(index);
        self.schedule(index, self.tick, NodeEvent::Tick);
    }

    fn close_pools(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        let now = node.clock.at(self.now);
        node.update_pools(now);
        let own = node.active.served(&node.map, &node.daemon);
        let borrower = node.boot;
        node.issuer.expire_loans(now);
        let mut returns = Vec::new();
        for key in node.issuer.pools() {
            if own.iter().any(|(own, _)| *own == key) {
                node.issuer.reopen(key);
            } else {
                returns.extend(node.issuer.close(key, now));
            }
        }
        for (lender, loan) in returns {
            let loans = vec![loan];
            self.send(
                node_index(&lender),
                NodeEvent::Return(LoanReturn { borrower, loans }),
            );
        }
    }

    fn send_grant_calls(&mut self, index: usize) {
        let is_batch = (self.now / self.tick).is_multiple_of(5);
        let node = &mut self.nodes[index];
        let now = node.clock.at(self.now);
        if !is_batch && !node.controller.is_urgent(now) {
            return;
        }
        for call in node.controller.due_calls(&node.map, now) {
            let number = self.next_event;
            self.next_event += 1;
            let node = &mut self.nodes[index];
            let home = node_index(&call.target.home.daemon);
            let (boot, ask) = (node.boot, call.ask.clone());
            node.pending_calls.insert(number, call);
            self.schedule(
                index,
                self.timeout(200),
                NodeEvent::GrantTimeout(boot, number),
            );
            self.send(home, NodeEvent::GrantRequest(index, number, ask));
        }
    }

    fn request(&mut self, index: usize, account: usize, caller: FloodCaller) {
        let limit = self.limits[account].clone();
        let request = self.audit.request(account, self.now);
        self.callers.begin(request, caller);
        let left = match self.callers.patience {
            0 => ADMIT_WAIT,
            _ => Duration::from_micros(caller.deadline.saturating_sub(self.now)),
        };
        let node = &mut self.nodes[index];
        let now = node.clock.at(self.now);
        match node.admit(&limit, request, left, now) {
            NodeAdmission::Admitted(token) => self.admitted(index, request, token),
            NodeAdmission::Refused(refusal) => self.refused(index, request, &refusal),
            NodeAdmission::Waiting => self.send_grant_calls(index),
        }
    }

    fn record_outcomes(&mut self, index: usize, outcomes: Vec<WaitOutcome>) {
        for outcome in outcomes {
            match self.nodes[index].resolve(outcome) {
                (request, Ok(token)) => self.admitted(index, request, token),
                (request, Err(refusal)) => self.refused(index, request, &refusal),
            }
        }
    }

    fn refused(&mut self, index: usize, request: usize, refusal: &RateRefusal) {
        self.audit.refuse(request);
        let returning = self.callers.refused(request, refusal.retry_after, self.now);
        if let Some((caller, wait)) = returning {
            let is_it = |limit: &RateLimit| limit.account == refusal.limit.account;
            let account = self.limits.iter().position(is_it).unwrap();
            // The caller's clock is that of the ingress's VM.
            let wait = wait * 1_000 / self.nodes[index].clock.speed;
            let wait = wait + self.rng.u64(0..RETURN_DELAY);
            self.schedule(index, wait, NodeEvent::RequestAgain(account, caller));
        }
    }

    fn admitted(&mut self, index: usize, request: usize, token: AdmittedToken) {
        let admission = self.audit.admit(request, self.now);
        self.callers.admitted(request);
        if self.rng.u8(0..20) == 0 {
            let boot = self.nodes[index].boot;
            let wait = self.rng.u64(0..SECOND);
            self.schedule(index, wait, NodeEvent::GiveBack(boot, token, admission));
        }
    }

    pub fn next_request(&mut self, node: usize, account: usize) {
        let demand = self.demand[account];
        if demand > 0.0 {
            let wait = -(1.0 - self.rng.f64()).ln() / demand * SECOND as f64;
            self.schedule(node, wait as u64, NodeEvent::Request(account));
        }
    }

    /// Starts a scan of the table, which a commit may follow.
    fn lease(&mut self, index: usize) {
        let is_down = self.is_platform_down(index);
        let node = &self.nodes[index];
        if node.phase != TablePhase::Idle || is_down || self.rng.u8(0..5) > 0 {
            return;
        }
        let rows = NodeEvent::ScanResult(node.boot, node.round, self.table.rows(SHARE_PREFIX));
        self.send(index, rows);
        self.nodes[index].phase = TablePhase::Scanning;
        let (boot, round) = (self.nodes[index].boot, self.nodes[index].round);
        // A scan that is never answered ends as an empty commit that conflicts.
        let timeout = NodeEvent::Committed(boot, round, self.empty_plan(index), empty_commit());
        self.schedule(index, 3 * SECOND, timeout);
    }

    fn observe(&mut self, index: usize, rows: &[TableRow]) {
        let node = &mut self.nodes[index];
        let now = node.clock.at(self.now);
        if node.phase != TablePhase::Scanning {
            return;
        }
        node.phase = TablePhase::Idle;
        node.round += 1;
        let changes = node.holder.observe(rows, now);
        node.apply_lease_changes(changes, now);
        let renew = node.settings.renew.get();
        let is_due = node.renewed.is_none_or(|at| now.since(at) >= renew);
        let total = node.settings.shares;
        if node.holder.held().is_empty() && !node.map.is_lender(&node.daemon, total) {
            return;
        }
        let members = node.map.members().len();
        let usual = node.settings.shares_per_daemon;
        let part = node.holder.target_count(members, usual);
        let most = part.min(node.holder.held().len() + 3);
        if !is_due && node.holder.claimable(now).is_empty() {
            return;
        }
        let Some(plan) = node.holder.plan(most, now) else {
            return;
        };
        node.phase = TablePhase::Committing;
        let (boot, round) = (node.boot, node.round);
        self.schedule(
            index,
            self.timeout(2_000),
            NodeEvent::CommitTimeout(boot, round, plan.clone()),
        );
        self.send(index, NodeEvent::Commit(index, round, plan));
    }

    fn commit(&mut self, from: usize, round: u64, plan: LeasePlan) {
        if self.is_platform_down(from) {
            return;
        }
        let outcome = self.table.apply(&plan.transaction());
        let boot = plan.row.boot;
        self.send(from, NodeEvent::Committed(boot, round, plan, outcome));
    }

    fn empty_plan(&mut self, index: usize) -> LeasePlan {
        let node = &self.nodes[index];
        let row = LeaseRow {
            daemon: node.daemon.clone(),
            address: "127.0.0.1:1".parse().unwrap(),
            boot: node.boot,
            nonce: 0,
            lease: node.settings.lease,
            released: false,
            era: Default::default(),
        };
        let now = node.clock.at(self.now);
        LeasePlan::new(row, Vec::new(), Default::default(), now)
    }
}

fn node_index(daemon: &DaemonId) -> usize {
    daemon.as_str()[3..].parse().unwrap()
}

fn empty_commit() -> CommitOutcome {
    CommitOutcome::Conflict(RowKey(String::new()))
}
