//! Rate and burst of each client account across the whole fleet, without a coordinator.
//!
//! The rates are cut into shares. A daemon leases shares in the table, lends them
//! shard by shard to homes for a few seconds, and a home grants tokens of the pooled
//! shares to ingresses. No decision here reads a clock or a socket: tasks at the edge do.

mod account_bucket;
mod account_placement;
mod active_pools;
mod admission;
mod admission_controller;
mod claim_epoch;
pub mod clock_margin;
mod demand_rate;
mod grant_issuer;
mod grant_target;
mod home_map;
mod home_state;
mod lease_holder;
mod lease_plan;
mod lease_task;
mod limits_core;
mod limits_dump;
mod limits_handle;
mod limits_tasks;
mod pool_key;
mod rate_refusal;
mod shard_id;
mod share_borrower;
mod share_lender;
mod share_row;
mod share_set;
mod token_cache;
mod token_pool;

pub use account_bucket::AccountBucket;
pub use account_placement::AccountPlacement;
pub use active_pools::ActivePools;
pub use admission::{Admission, AdmittedToken};
pub use admission_controller::{AdmissionController, AdmitOutcome, GrantCall, WaitOutcome};
pub use claim_epoch::ClaimEpoch;
pub use demand_rate::DemandRate;
pub use grant_issuer::GrantIssuer;
pub use grant_target::GrantTarget;
pub use home_map::{HomeCandidate, HomeMap, HomeRole};
pub use home_state::HomeState;
pub use lease_holder::{LeaseChange, LeaseHolder, LeaseIdentity};
pub use lease_plan::LeasePlan;
pub use limits_handle::{LimitsHandle, LimitsSources, MemberSource, RateSource};
pub use pool_key::PoolKey;
pub use rate_refusal::{HomeStatus, RateRefusal};
pub use shard_id::{SHARD_COUNT, ShardId};
pub use share_borrower::{LoanCall, ShareBorrower};
pub use share_lender::{ShareLender, ShareOrigin};
pub use share_row::{SHARE_PREFIX, ShareRow};
pub use share_set::{MAX_SHARES, ShareSet};
pub use token_cache::{HalfRequest, HeldGrant, TokenCache, WaitingRequest};
pub use token_pool::{PooledLoan, TokenPool};
