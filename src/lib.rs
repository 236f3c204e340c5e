//! A proxy fleet for backend servers with gray failures.
//!
//! The library implements decisions as state machines without I/O, and the async tasks that drive
//! them. The programs in `src/bin` only parse the command line and call it.

#![warn(clippy::unwrap_used, clippy::expect_used, clippy::panic)]

pub mod admin;
pub mod balance;
pub mod baseline;
pub mod client;
pub mod config;
pub mod crashes;
pub mod daemon;
pub mod egress;
pub mod evacuation;
pub mod execution_verdict;
pub mod exit;
pub mod hash;
pub mod health;
pub mod http;
pub mod ids;
pub mod ingress;
pub mod instances;
pub mod limits;
pub mod logs;
pub mod members;
pub mod metrics;
pub mod peers;
pub mod platform;
pub mod pressure;
pub mod queue;
pub mod resource;
pub mod retry;
pub mod settings;
pub mod time;
pub mod units;
pub mod wire;
