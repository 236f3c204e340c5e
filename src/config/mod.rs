//! The configuration: how it is changed, followed and looked up.

mod account_table;
mod catalog;
mod catalog_error;
mod change_attempt;
mod change_outcome;
mod change_planner;
mod change_refusal;
mod change_request;
mod config_change;
mod config_handle;
mod config_store;
mod key_table;
mod operation_record;
mod path_segments;
mod plan_rows;
mod resource_rules;
mod route_table;
mod row_layout;
mod stored_resource;

pub use account_table::AccountTable;
pub use catalog::{AccountUses, Catalog};
pub use catalog_error::CatalogError;
pub use change_attempt::{AttemptAction, ChangeAttempt};
pub use change_outcome::ChangeOutcome;
pub use change_planner::{ChangePlan, LOG_REVISIONS, plan_change};
pub use change_refusal::ChangeRefusal;
pub use change_request::{ChangeRequest, ResourceEdit, VersionCondition};
pub use config_change::{ConfigAction, ConfigChange};
pub use config_handle::{ConfigHandle, ConfigSources};
pub use config_store::{ConfigStore, PAGE_ROWS};
pub use key_table::{KeyLookup, KeyTable};
pub use operation_record::OperationRecord;
pub use plan_rows::{HeadRow, PlanRows};
pub use route_table::RouteTable;
pub use row_layout::RowLayout;
pub use stored_resource::StoredResource;
