//! Load balancing: picks an instance for each request, splits routes by weight and keeps requests in
//! their availability zone.

mod cold_wait;
mod instance_picker;
mod instance_stats;
mod load_estimate;
mod other_zone;
mod overflow_share;
mod path_backoff;
mod pick_criteria;
mod pick_scope;
mod route_time;
mod route_times;
mod service_zones;
mod traffic_splitter;
mod wait_limits;
mod zone_choice;
mod zone_counts;
mod zone_pressure;
mod zone_room;
mod zone_router;

pub use instance_picker::InstancePicker;
pub use other_zone::OtherZone;
pub use overflow_share::OverflowShare;
pub use pick_criteria::PickCriteria;
pub use pick_scope::PickScope;
pub use route_times::RouteTimes;
pub use service_zones::{ServiceZones, ShareChange};
pub use traffic_splitter::TrafficSplitter;
pub use wait_limits::WaitLimits;
pub use zone_choice::{ZoneChoice, ZoneStart, ZoneStep};
pub use zone_counts::{ZoneCounts, ZoneLine};
pub use zone_pressure::ZonePressure;
pub use zone_room::ZoneRoom;
pub use zone_router::ZoneRouter;
