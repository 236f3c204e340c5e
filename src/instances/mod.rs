//! Registration of the backend servers on this VM: each announces its instance over HTTP and renews
//! a short lease on it.

mod announce_error;
mod announce_server;
mod announce_sources;
mod announce_table;
mod announcement;
mod leave_journal;
mod leave_rows;
mod left_runs;
mod local_instance;
mod renewal_rule;

pub use announce_error::AnnounceError;
pub use announce_server::AnnounceServer;
pub use announce_sources::{AnnounceObserver, AnnounceReader, AnnounceSources};
pub use announce_table::AnnounceTable;
pub use announcement::{AnnounceOrder, Announcement, LATE_ANNOUNCEMENTS, MAX_LEASE, MIN_LEASE};
pub use leave_journal::LeaveJournal;
pub use leave_rows::LeaveRows;
pub use left_runs::LeftRuns;
pub use local_instance::LocalInstance;
pub use renewal_rule::{FirstUse, RenewalRule};
