//! Bounds of the request path.

use serde::Deserialize;

use crate::units::{ByteSize, TimeSpan};

/// How requests are carried.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ProxySettings {
    /// Largest request body.
    pub max_request: ByteSize,
    /// Answers up to this size are held until whole, so that a cut one can be retried.
    pub buffer_answer: ByteSize,
    /// Deadline of a request that names none.
    pub default_deadline: TimeSpan,
    /// Longest deadline that a caller may ask for.
    pub max_deadline: TimeSpan,
    /// How long a held slot waits for the ingress to say go.
    pub slot_hold: TimeSpan,
    /// How long a graceful shutdown may take.
    pub shutdown: TimeSpan,
}

impl Default for ProxySettings {
    fn default() -> Self {
        Self {
            max_request: ByteSize::from_kib(1024),
            buffer_answer: ByteSize::from_kib(256),
            default_deadline: TimeSpan::from_secs(10),
            max_deadline: TimeSpan::from_secs(60),
            slot_hold: TimeSpan::from_millis(500),
            shutdown: TimeSpan::from_secs(30),
        }
    }
}
