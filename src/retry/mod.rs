//! Retry budgets, which limit the extra load that retries put on a service.

mod retry_budget;

pub use retry_budget::RetryBudget;
