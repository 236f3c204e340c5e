//! Retry budgets, which limit the extra load that retries put on a service.

mod call_rates;
mod retry_budget;
mod service_budgets;

pub use call_rates::CallRates;
pub use retry_budget::RetryBudget;
pub use service_budgets::{BudgetScope, ServiceBudgets};
