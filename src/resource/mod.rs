//! Configuration resources: client accounts, keys, rate limits, routes, services and evacuations.

mod client_account;
mod client_key;
mod config_resource;
mod idempotency_rule;
mod key_hash;
mod priority;
mod queue_order;
mod rate_limit;
mod recovery_rule;
mod request_class;
mod resource_kind;
mod resource_name;
mod route_access;
mod route_rules;
mod service_route;
mod service_spec;
mod zone_evacuation;

pub use client_account::ClientAccount;
pub use client_key::ClientKey;
pub use config_resource::ConfigResource;
pub use idempotency_rule::IdempotencyRule;
pub use key_hash::KeyHash;
pub use priority::Priority;
pub use queue_order::QueueOrder;
pub use rate_limit::RateLimit;
pub use recovery_rule::RecoveryRule;
pub use request_class::{ClassWeights, RequestClass};
pub use resource_kind::ResourceKind;
pub use resource_name::ResourceName;
pub use route_access::RouteAccess;
pub use route_rules::{RouteRules, WeightedService};
pub use service_route::ServiceRoute;
pub use service_spec::ServiceSpec;
pub use zone_evacuation::ZoneEvacuation;
