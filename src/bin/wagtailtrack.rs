//! The daemon's entry point.
fn main() {}
