//! Newtypes for identifiers: validated names and 64-bit numbers.

mod account_id;
mod boot_id;
mod daemon_id;
mod host_name;
mod incarnation;
mod instance_id;
mod key_id;
mod name;
mod number;
mod operation_id;
mod region_id;
mod request_id;
mod revision;
mod route_id;
mod service_id;
mod store_era;
mod version;
mod zone_id;

pub use account_id::AccountId;
pub use boot_id::BootId;
pub use daemon_id::DaemonId;
pub use host_name::HostName;
pub use incarnation::Incarnation;
pub use instance_id::InstanceId;
pub use key_id::KeyId;
pub use name::{MAX_NAME_BYTES, NameError, validate_name};
pub use operation_id::OperationId;
pub use region_id::RegionId;
pub use request_id::RequestId;
pub use revision::Revision;
pub use route_id::RouteId;
pub use service_id::ServiceId;
pub use store_era::StoreEra;
pub use version::Version;
pub use zone_id::ZoneId;
