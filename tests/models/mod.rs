//! Models of instances and their service, for tests of the decisions.
#![allow(dead_code, unused_imports, reason = "each test file uses a part")]

mod service_records;

pub use service_records::{record, service_of};
