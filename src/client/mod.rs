//! client
