//! Settings of proxied requests: sizes, deadlines, buffering and retries.

use serde::Deserialize;

use crate::units::{ByteSize, TimeSpan, ZoneCost};

/// Sizes, deadlines, buffering and retries of proxied requests.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ProxySettings {
    /// Maximum size of a request body.
    pub max_request: ByteSize,
    /// Responses up to this size are buffered until complete, so that the request can be retried if one
    /// is truncated.
    pub buffer_answer: ByteSize,
    /// Deadline of a request that sets none; at most `max_deadline`.
    pub default_deadline: TimeSpan,
    /// Longest deadline that a caller may ask for.
    pub max_deadline: TimeSpan,
    /// How long the egress holds a reserved slot until the ingress confirms the request.
    pub slot_hold: TimeSpan,
    /// Timeout of a graceful shutdown.
    pub shutdown: TimeSpan,
    /// Idle timeout of a caller's connection.
    pub keep_alive: TimeSpan,
    /// Whether a response without length or chunked framing counts as complete when its connection
    /// closes in order.
    pub accept_unframed: bool,
    /// Whether `Retry-After` carries fractions of a second, for callers that read them.
    pub exact_retry_after: bool,
    /// Number of instances offered a request that must start without waiting, before it waits in the
    /// queue of one. A higher number pays off where the round trip to another VM is short compared
    /// with the work.
    #[serde(rename = "glances")]
    pub no_wait_offers: u32,
    /// Cost that load balancing adds for an instance in another availability zone.
    pub zone_cost: ZoneCost,
    /// Retries that the whole fleet may make for a service within ten seconds, in addition to the
    /// share that `retry_budget` allows. If absent, each daemon has a small reserve of its own.
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
