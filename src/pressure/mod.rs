//! Whether a service has room for a request, as an ingress learns it from the responses that it gets.

mod service_pressure;

pub use service_pressure::ServicePressure;
