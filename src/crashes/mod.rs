//! Requests that end the instances that run them: which are suspected, which are refused, and why.

mod crash_rules;
mod request_standing;
mod suspect_entry;
mod suspect_record;
mod suspect_table;
mod suspects_handle;

pub use crash_rules::CrashRules;
pub use request_standing::RequestStanding;
pub use suspect_entry::SuspectEntry;
pub use suspect_record::SuspectRecord;
pub use suspect_table::{MAX_ACCOUNT_SUSPECTS, MAX_SUSPECTS, SuspectTable};
pub use suspects_handle::SuspectsHandle;
