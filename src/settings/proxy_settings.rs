//! Settings of proxied requests: sizes, deadlines, buffering and retries.

use serde::de::{Error, Unexpected};
use serde::{Deserialize, Deserializer};

use crate::http::ConnectionLimits;
use crate::settings::{SettingsError, ZoneOverflow};
use crate::units::{ByteSize, TimeSpan, ZoneCost};

/// Lower bound of `proxy.connection_memory`.
const MIN_CONNECTION_MEMORY: ByteSize = ByteSize::from_kib(1024);

/// Sizes, deadlines, buffering and retries of proxied requests.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ProxySettings {
    /// Maximum number of callers' connections. If absent, 1,000, or half of the process's descriptors if
    /// these are fewer than 2,000.
    pub max_connections: Option<u32>,
    /// Memory for callers' connections together: buffers, heads, and what waits to be read. Bodies and
    /// responses that are held have budgets of their own.
    pub connection_memory: ByteSize,
    /// Maximum size of a request body.
    pub max_request: ByteSize,
    /// Memory for the bodies of all requests together.
    pub body_memory: ByteSize,
    /// Longest pause between two parts of a request body.
    pub body_progress: TimeSpan,
    /// Responses up to this size are buffered until complete, so that the request can be retried if one
    /// is truncated.
    pub buffer_answer: ByteSize,
    /// Maximum size of a response body. A longer one is cut off.
    pub max_answer: ByteSize,
    /// Memory for the responses that callers are slow to read and those that are buffered, all
    /// together. What exceeds it is passed on without buffering.
    pub answer_memory: ByteSize,
    /// Longest time that a caller may take no bytes of its response.
    pub answer_progress: TimeSpan,
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
    /// Whether requests stay in the daemon's availability zone while it has room in time.
    pub zone_overflow: ZoneOverflow,
    /// Retries that the whole fleet may make for a service within ten seconds, in addition to the
    /// share that `retry_budget` allows. A fraction is rounded down. With it, calls of instances do not
    /// count as first attempts, and the calls of repeated runs are taken from the budget of the service
    /// called. If absent, each daemon has a small reserve of its own.
    #[serde(deserialize_with = "whole_count")]
    pub retry_reserve: Option<u32>,
    /// Instances that must have ended while they ran a request until it is refused; 0 turns this off.
    pub crash_limit: u32,
    /// How long a request is refused after the last end of an instance that it caused.
    pub crash_hold: TimeSpan,
}

impl Default for ProxySettings {
    fn default() -> Self {
        Self {
            max_connections: None,
            connection_memory: ConnectionLimits::default().memory,
            max_request: ByteSize::from_kib(1024),
            body_memory: ByteSize::from_kib(32 * 1024),
            body_progress: TimeSpan::from_secs(10),
            buffer_answer: ByteSize::from_kib(256),
            max_answer: ByteSize::from_kib(256 * 1024),
            answer_memory: ByteSize::from_kib(32 * 1024),
            answer_progress: TimeSpan::from_secs(30),
            default_deadline: TimeSpan::from_secs(10),
            max_deadline: TimeSpan::from_secs(60),
            slot_hold: TimeSpan::from_millis(500),
            shutdown: TimeSpan::from_secs(30),
            keep_alive: TimeSpan::from_secs(30),
            accept_unframed: false,
            exact_retry_after: false,
            no_wait_offers: 2,
            zone_cost: ZoneCost::default(),
            zone_overflow: ZoneOverflow::Off,
            retry_reserve: None,
            crash_limit: 3,
            crash_hold: TimeSpan::from_secs(600),
        }
    }
}

impl ProxySettings {
    /// Returns the limits on callers' connections of a process that may have `descriptors`; none stands
    /// for any number. The other half of the descriptors is for instances, other daemons and the platform.
    ///
    /// # Errors
    /// `SettingsError` if a limit is out of bounds.
    pub fn connection_limits(
        &self,
        descriptors: Option<u64>,
    ) -> Result<ConnectionLimits, SettingsError> {
        if self.connection_memory < MIN_CONNECTION_MEMORY {
            return Err(SettingsError::Value(
                "proxy.connection_memory",
                self.connection_memory.to_string(),
                "use at least 1MiB",
            ));
        }
        let half = descriptors.map_or(u64::MAX, |descriptors| descriptors / 2);
        let connections = match self.max_connections {
            None => ConnectionLimits::callers(descriptors).connections,
            Some(count) if (1..=half).contains(&u64::from(count)) => count as usize,
            Some(count) => {
                return Err(SettingsError::Value(
                    "proxy.max_connections",
                    count.to_string(),
                    "use at least 1 and at most half of the descriptors that the process may have",
                ));
            }
        };
        Ok(ConnectionLimits {
            connections,
            memory: self.connection_memory,
        })
    }
}

/// Reads a count that may have a fraction, which is rounded down, so that a limit is never exceeded.
fn whole_count<'de, D: Deserializer<'de>>(source: D) -> Result<Option<u32>, D::Error> {
    let count = f64::deserialize(source)?;
    if !(0.0..=f64::from(u32::MAX)).contains(&count) {
        let expected = &"a count from 0 to 4294967295";
        return Err(D::Error::invalid_value(Unexpected::Float(count), expected));
    }
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the range was checked, and the fraction is dropped on purpose"
    )]
    Ok(Some(count as u32))
}
