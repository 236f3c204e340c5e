//! Load balancing: picks an instance for each request and splits routes by weight.

mod instance_picker;
mod instance_stats;
mod load_estimate;
mod path_backoff;
mod traffic_splitter;

pub use instance_picker::{InstancePicker, PickCriteria};
pub use traffic_splitter::TrafficSplitter;
