//! The choice of an instance for a request.

mod instance_picker;
mod known_instance;
mod load_estimate;
mod path_state;
mod traffic_splitter;

pub use instance_picker::{InstancePicker, PickCriteria};
pub use traffic_splitter::TrafficSplitter;
