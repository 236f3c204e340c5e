//! Bounds of the request path.

use serde::Deserialize;

use crate::units::{ByteSize, TimeSpan, ZoneCost};

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
    /// How long a caller's connection may be idle.
    pub keep_alive: TimeSpan,
    /// Whether an answer that ends with its connection counts as whole when that ends in order.
    pub accept_unframed: bool,
    /// Whether `Retry-After` carries fractions of a second, for callers that read them.
    pub exact_retry_after: bool,
    /// Instances asked for a free slot before a request waits in the queue of one: more where the
    /// way to another VM is short against the work.
    #[serde(rename = "glances")]
    pub no_wait_offers: u32,
    /// What it costs to send a request to another availability zone.
    pub zone_cost: ZoneCost,
    /// Retries that the whole fleet may cause for a service within ten seconds, beyond the
    /// service's share; each daemon has a few of its own when this is left out.
    pub retry_reserve: Option<u32>,
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
            keep_alive: TimeSpan::from_secs(30),
            accept_unframed: false,
            exact_retry_after: false,
            no_wait_offers: 2,
            zone_cost: ZoneCost::default(),
            retry_reserve: None,
        }
    }
}
