//! Access to the platform's transactional key-value table and object store.

mod call_effect;
mod commit_outcome;
mod http_platform;
mod platform_error;
mod platform_service;
mod platform_wire;
mod row_bytes;
mod row_key;
mod table_row;
mod timed_platform;
mod transaction;

pub use call_effect::{CallEffect, object_from_response};
pub use commit_outcome::CommitOutcome;
pub use http_platform::HttpPlatform;
pub use platform_error::PlatformError;
pub use platform_service::PlatformService;
pub use platform_wire::{ReadRequest, ReadResponse, ScanRequest};
pub use row_key::RowKey;
pub use table_row::TableRow;
pub use timed_platform::TimedPlatform;
pub use transaction::{RowCheck, RowWrite, Transaction};
