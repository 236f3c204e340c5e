//! How many retries a service may cause.

mod retry_budget;

pub use retry_budget::RetryBudget;
