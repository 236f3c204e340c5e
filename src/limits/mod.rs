//! Distributed token buckets: a rate limit for each client account across all daemons, without a
//! coordinator.
//!
//! Each limit is divided into a fixed number of equal shares. Three levels delegate them:
//!
//! 1. A daemon leases shares in the platform's table (`LeaseHolder`).
//! 2. It lends each share, separately for each shard of the client accounts, to the shard's home
//!    for a few seconds (`ShareLender`, `ShareBorrower`). The home is the daemon that rendezvous
//!    hashing selects. Each shard has two, one for each half of the shares.
//! 3. The home pools the borrowed shares in token buckets and grants tokens from these to the
//!    ingresses, which admit requests with them (`GrantIssuer`, `AdmissionController`).
//!
//! The state machines read no clock and no socket. Callers pass them the time and the messages.

mod account_placement;
mod active_pools;
mod admission;
mod admission_controller;
mod answer_time;
mod claim_epoch;
pub mod clock_margin;
mod demand_rate;
mod grant_issuer;
mod grant_target;
mod granted_share;
mod held_grant;
mod held_lease;
mod home_map;
mod home_state;
mod lease_change;
mod lease_holder;
mod lease_identity;
mod lease_plan;
mod lease_release;
mod lease_row;
mod lease_task;
mod limits_core;
mod limits_dump;
mod limits_handle;
mod limits_tasks;
mod pool_key;
mod pooled_loan;
mod rate_refusal;
mod return_schedule;
mod seen_row;
mod shard_id;
mod share_borrower;
mod share_lender;
mod share_origin;
mod share_set;
mod silent_daemons;
mod token_bucket;
mod token_cache;
mod token_pool;

pub use account_placement::AccountPlacement;
pub use active_pools::ActivePools;
pub use admission::{Admission, AdmittedToken};
pub use admission_controller::{AdmissionController, AdmitOutcome, GrantCall, WaitOutcome};
pub use answer_time::AnswerTime;
pub use claim_epoch::ClaimEpoch;
pub use demand_rate::DemandRate;
pub use grant_issuer::GrantIssuer;
pub use grant_target::GrantTarget;
pub use granted_share::GrantedShare;
pub use held_grant::HeldGrant;
pub use home_map::{HomeCandidate, HomeMap, HomeRole};
pub use home_state::HomeState;
pub use lease_change::LeaseChange;
pub use lease_holder::LeaseHolder;
pub use lease_identity::LeaseIdentity;
pub use lease_plan::LeasePlan;
pub use lease_row::{LeaseRow, SHARE_PREFIX};
pub use limits_handle::{LimitsHandle, LimitsSources, MemberSource, RateSource};
pub use pool_key::PoolKey;
pub use pooled_loan::PooledLoan;
pub use rate_refusal::{HomeStatus, RateRefusal};
pub use return_schedule::{ReturnCounts, ReturnSchedule};
pub use shard_id::{SHARD_COUNT, ShardId};
pub use share_borrower::{LoanCall, ShareBorrower};
pub use share_lender::ShareLender;
pub use share_origin::ShareOrigin;
pub use share_set::{MAX_SHARES, ShareSet};
pub use silent_daemons::SilentDaemons;
pub use token_bucket::TokenBucket;
pub use token_cache::{HalfRequest, TokenCache, WaitingRequest};
pub use token_pool::TokenPool;
