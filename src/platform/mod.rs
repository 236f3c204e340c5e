//! The platform's transactional table and object store, as the daemon needs them.

mod commit_outcome;
mod platform_error;
mod platform_service;
mod row_key;
mod table_row;
mod transaction;

pub use commit_outcome::CommitOutcome;
pub use platform_error::PlatformError;
pub use platform_service::PlatformService;
pub use row_key::RowKey;
pub use table_row::TableRow;
pub use transaction::{RowCheck, RowWrite, Transaction};
