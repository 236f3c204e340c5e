//! A service in three zones in virtual time, with the queue, the picker and the choice of zones that
//! the daemons use.

mod zone_load;
mod zone_outcome;
mod zone_request;
mod zone_service;

pub use zone_load::ZoneLoad;
pub use zone_service::ZoneService;
