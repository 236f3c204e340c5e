//! Retry budgets of all services at one ingress.

use crate::hash::FastMap;
use crate::ids::ServiceId;
use crate::retry::RetryBudget;
use crate::time::MonoTime;
use crate::units::Percent;
use crate::wire::CallRate;

/// The service whose budget is meant, and the size of that budget.
#[derive(Debug, Clone, Copy)]
pub struct BudgetScope<'a> {
    /// The service.
    pub service: &'a ServiceId,
    /// Retries per first attempt.
    pub share: Percent,
    /// Number of live daemons, among which the reserve of the fleet is divided.
    pub daemons: usize,
}

/// The retry budgets, and what the services are known to call.
///
/// Where the fleet has a reserve, its retries are bound by the requests that callers send. Then the
/// calls of instances add nothing to the budget of the service that is called, and those that a
/// repeated run is likely to make are taken from it: both are more work for that service. A request is
/// not retried whose calls would exceed the budget of a service that it calls.
#[derive(Debug, Default)]
pub struct ServiceBudgets {
    fleet_reserve: Option<u32>,
    budgets: FastMap<ServiceId, RetryBudget>,
    /// Calls of the instances of a service, by its last response, and the shares of the services called.
    calls: FastMap<ServiceId, Vec<(CallRate, Percent)>>,
}

/// The calls to one service that a run makes on average.
struct RunCalls {
    service: ServiceId,
    /// Retries per first attempt of that service.
    share: Percent,
    count: f64,
}

impl RunCalls {
    const fn scope(&self, daemons: usize) -> BudgetScope<'_> {
        BudgetScope {
            service: &self.service,
            share: self.share,
            daemons,
        }
    }
}

impl ServiceBudgets {
    /// Creates the budgets of a daemon of a fleet with this reserve, if the settings name one.
    #[must_use]
    pub fn open(fleet_reserve: Option<u32>) -> Self {
        Self {
            fleet_reserve,
            ..Self::default()
        }
    }

    /// Counts a request that is about to be sent for the first time. `is_call` tells that an instance
    /// sent it.
    pub fn record_attempt(&mut self, scope: &BudgetScope<'_>, is_call: bool, now: MonoTime) {
        let is_counted = self.fleet_reserve.is_none() || !is_call;
        let budget = self.budget(scope);
        if is_counted {
            budget.record_attempt(now);
        }
    }

    /// Whether [`Self::try_retry`] would succeed now.
    pub fn allows_retry(&mut self, scope: &BudgetScope<'_>, now: MonoTime) -> bool {
        let calls = self.calls_of_run(scope);
        self.allows_run(scope, &calls, now)
    }

    /// Takes one retry from the budget of the service; returns false if it is exhausted.
    pub fn try_retry(&mut self, scope: &BudgetScope<'_>, now: MonoTime) -> bool {
        let calls = self.calls_of_run(scope);
        if !self.allows_run(scope, &calls, now) {
            return false;
        }
        self.charge_run(scope, 1.0, now);
        true
    }

    /// Gives back a retry that [`Self::try_retry`] has taken, because it reached no instance.
    pub fn give_back(&mut self, scope: &BudgetScope<'_>, now: MonoTime) {
        self.charge_run(scope, -1.0, now);
    }

    /// Counts `runs` retries with the calls that they are likely to make.
    fn charge_run(&mut self, scope: &BudgetScope<'_>, runs: f64, now: MonoTime) {
        self.budget(scope).charge(runs, now);
        for call in &self.calls_of_run(scope) {
            self.budget(&call.scope(scope.daemons))
                .charge(runs * call.count, now);
        }
    }

    fn allows_run(&mut self, scope: &BudgetScope<'_>, calls: &[RunCalls], now: MonoTime) -> bool {
        let allows = |call: &RunCalls| {
            self.budget(&call.scope(scope.daemons))
                .allows_charge(call.count, now)
        };
        calls.iter().all(allows) && self.budget(scope).allows_retry(now)
    }

    /// The calls that a run of the service is likely to make, as far as they count.
    fn calls_of_run(&self, scope: &BudgetScope<'_>) -> Vec<RunCalls> {
        let known = self.calls.get(scope.service).into_iter().flatten();
        let counted = known.filter(|_| self.fleet_reserve.is_some());
        let calls = counted.map(|(rate, share)| RunCalls {
            service: rate.service.clone(),
            share: *share,
            count: f64::from(rate.calls_per_thousand) / 1_000.0,
        });
        calls.collect()
    }

    /// Whether the budget allows a trial request, which is likely to need a retry.
    pub fn allows_trial(&mut self, scope: &BudgetScope<'_>, now: MonoTime) -> bool {
        self.budget(scope).allows_trial(now)
    }

    /// Takes in what a response says of the calls of the service; `share_of` returns the retries per first
    /// attempt of a service that is called.
    pub fn learn_calls(
        &mut self,
        service: &ServiceId,
        calls: &[CallRate],
        share_of: impl Fn(&ServiceId) -> Percent,
    ) {
        let known = self.calls.get(service).into_iter().flatten();
        if known.map(|(rate, _)| rate).eq(calls) {
            return;
        }
        let calls = calls
            .iter()
            .map(|rate| (rate.clone(), share_of(&rate.service)));
        self.calls.insert(service.clone(), calls.collect());
    }

    fn budget(&mut self, scope: &BudgetScope<'_>) -> &mut RetryBudget {
        let budgets = &mut self.budgets;
        let budget = budgets
            .entry(scope.service.clone())
            .or_insert_with(|| RetryBudget::open(scope.share));
        if let Some(reserve) = self.fleet_reserve {
            budget.set_fleet_reserve(scope.share, reserve, scope.daemons);
        }
        budget
    }
}
