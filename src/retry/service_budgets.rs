//! Retry budgets of all services at one ingress.

use crate::hash::FastMap;
use crate::ids::ServiceId;
use crate::retry::RetryBudget;
use crate::time::MonoTime;
use crate::units::Percent;

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

/// The retry budgets of the services.
///
/// Where the fleet has a reserve, its retries are bound by the requests that callers send. Then the
/// calls of instances add nothing to the budget of the service that is called, though their retries are
/// taken from it: the more requests are repeated, the more calls there are.
#[derive(Debug, Default)]
pub struct ServiceBudgets {
    fleet_reserve: Option<u32>,
    budgets: FastMap<ServiceId, RetryBudget>,
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

    /// Takes one retry from the budget of the service; returns false if it is exhausted.
    pub fn try_retry(&mut self, scope: &BudgetScope<'_>, now: MonoTime) -> bool {
        self.budget(scope).try_retry(now)
    }

    /// Whether the budget allows a trial request, which is likely to need a retry.
    pub fn allows_trial(&mut self, scope: &BudgetScope<'_>, now: MonoTime) -> bool {
        self.budget(scope).allows_trial(now)
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
