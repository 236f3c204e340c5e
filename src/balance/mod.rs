//! Load balancing: picks an instance for each request and splits routes by weight.

mod cold_wait;
mod instance_picker;
mod instance_stats;
mod load_estimate;
mod path_backoff;
mod pick_criteria;
mod traffic_splitter;

pub use instance_picker::InstancePicker;
pub use pick_criteria::PickCriteria;
pub use traffic_splitter::TrafficSplitter;
