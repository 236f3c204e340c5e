//! Exporter that takes a snapshot of the daemon's counters on each scrape.

use std::fmt;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use opentelemetry::KeyValue;
use opentelemetry::metrics::{AsyncInstrument, Meter, MeterProvider as _};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};

use crate::balance::ZoneLine;
use crate::config::ConfirmationSource;
use crate::http::ConnectionLine;
use crate::ingress::{CreditLine, RequestTotals, ResponseLoss};
use crate::metrics::DurationMetrics;
use crate::peers::ZoneBytes;

/// Values of all exported counters and gauges at one time.
#[derive(Debug, Clone, Default)]
pub struct MetricsSnapshot {
    /// Totals of the requests that the ingress answered, since the daemon started.
    pub totals: RequestTotals,
    /// Completed requests by client account and class.
    pub credits: Vec<CreditLine>,
    /// Requests in flight at the egress.
    pub egress_in_flight: u64,
    /// Bytes of responses that the ingress holds for callers.
    pub answer_bytes: u64,
    /// Offers that the egress refused because the instance was cold, since the daemon started.
    pub cold_refusals: u64,
    /// Local instances that are cold, or may be, and take fewer requests for it.
    pub cold_instances: u64,
    /// Number of live members, including this daemon.
    pub members: u64,
    /// Revision of the loaded configuration.
    pub revision: u64,
    /// Time since the configuration was confirmed to be the newest; none without a confirmation.
    pub configuration_age: Option<Duration>,
    /// Who confirmed it last; none before the first confirmation.
    pub configuration_source: Option<ConfirmationSource>,
    /// How often a daemon that passes the configuration on was found silent, since the daemon started.
    pub silent_peers: u64,
    /// Parts of configuration documents that could not be used as they stood, since the daemon
    /// started.
    pub document_warnings: u64,
    /// Offers and waiting requests that the egress refused because of an evacuation, since the daemon
    /// started.
    pub evacuation_refusals: u64,
    /// Ends of instances beside the daemon while they ran requests, since the daemon started.
    pub instance_ends: u64,
    /// Requests that are suspected of ending instances, or refused for it.
    pub suspects: u64,
    /// Number of evacuated zones.
    pub evacuated_zones: u64,
    /// Time since the evacuated zones were confirmed.
    pub evacuation_age: Duration,
    /// Messages of other daemons that were refused, since the daemon started.
    pub refused_messages: u64,
    /// Requests by service and the zone that served them.
    pub zones: Vec<ZoneLine>,
    /// Bytes exchanged with other zones by purpose, since the daemon started.
    pub zone_bytes: Vec<ZoneBytes>,
    /// Connections by listener.
    pub connections: Vec<ConnectionLine>,
}

/// Registry of all metrics with the latest snapshot.
pub struct MetricsExport {
    registry: Registry,
    latest: SharedSnapshot,
    durations: DurationMetrics,
    _provider: SdkMeterProvider,
}

impl MetricsExport {
    /// Creates an exporter with an empty snapshot.
    ///
    /// # Errors
    /// Fails if the exporter cannot be registered.
    pub fn open() -> Result<Self, Box<dyn std::error::Error + Send + Sync>> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let latest = Arc::new(Mutex::new(MetricsSnapshot::default()));
        let meter = provider.meter("wagtailtrack");
        register_all(&meter, &latest);
        Ok(Self {
            registry,
            latest,
            durations: DurationMetrics::open(&meter),
            _provider: provider,
        })
    }

    /// Returns the histograms into which components record durations.
    #[must_use]
    pub fn durations(&self) -> DurationMetrics {
        self.durations.clone()
    }

    /// Encodes `snapshot` and the histograms in the Prometheus text format.
    #[must_use]
    pub fn text(&self, snapshot: MetricsSnapshot) -> String {
        if let Ok(mut latest) = self.latest.lock() {
            *latest = snapshot;
        }
        let mut buffer = Vec::new();
        match TextEncoder::new().encode(&self.registry.gather(), &mut buffer) {
            Ok(()) => String::from_utf8_lossy(&buffer).into_owned(),
            Err(cause) => format!("# metrics cannot be encoded: {cause}\n"),
        }
    }
}

impl fmt::Debug for MetricsExport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("MetricsExport(..)")
    }
}

/// The snapshot of the latest scrape, which all callbacks read.
type SharedSnapshot = Arc<Mutex<MetricsSnapshot>>;

/// Reads a value of a listener's connections.
type ReadConnections = fn(&ConnectionLine) -> u64;

/// Registers a callback for each counter and gauge.
fn register_all(meter: &Meter, latest: &SharedSnapshot) {
    register_counter(meter, latest, "requests_taken", |snapshot| {
        snapshot.totals.requests
    });
    register_counter(meter, latest, "requests_ran", |snapshot| {
        snapshot.totals.ran
    });
    register_counter(meter, latest, "requests_not_run", |snapshot| {
        snapshot.totals.not_run
    });
    register_counter(meter, latest, "requests_may_have_run", |snapshot| {
        snapshot.totals.may_have_run
    });
    register_losses(meter, latest);
    register_counter(meter, latest, "requests_over_rate", |snapshot| {
        snapshot.totals.over_rate
    });
    register_counter(meter, latest, "requests_service_full", |snapshot| {
        snapshot.totals.service_full
    });
    register_counter(meter, latest, "requests_ending_instances", |snapshot| {
        snapshot.totals.ends_instances
    });
    register_counter(meter, latest, "instance_ends", |snapshot| {
        snapshot.instance_ends
    });
    register_gauge(meter, latest, "requests_suspected", |snapshot| {
        snapshot.suspects
    });
    register_counter(meter, latest, "request_retries", |snapshot| {
        snapshot.totals.retries
    });
    register_counter(meter, latest, "request_backups", |snapshot| {
        snapshot.totals.backups
    });
    register_counter(meter, latest, "peer_messages_refused", |snapshot| {
        snapshot.refused_messages
    });
    register_counter(meter, latest, "configuration_warnings", |snapshot| {
        snapshot.document_warnings
    });
    register_counter(meter, latest, "configuration_peer_silences", |snapshot| {
        snapshot.silent_peers
    });
    register_configuration_age(meter, latest);
    register_configuration_source(meter, latest);
    register_counter(meter, latest, "requests_evacuated", |snapshot| {
        snapshot.evacuation_refusals
    });
    register_gauge(meter, latest, "zones_evacuated", |snapshot| {
        snapshot.evacuated_zones
    });
    register_gauge(meter, latest, "evacuation_age_seconds", |snapshot| {
        snapshot.evacuation_age.as_secs()
    });
    register_counter(meter, latest, "log_lines_dropped", |_| {
        crate::logs::dropped_lines()
    });
    register_gauge(meter, latest, "egress_under_way", |snapshot| {
        snapshot.egress_in_flight
    });
    register_counter(meter, latest, "offers_refused_cold", |snapshot| {
        snapshot.cold_refusals
    });
    register_gauge(meter, latest, "answer_bytes_held", |snapshot| {
        snapshot.answer_bytes
    });
    register_gauge(meter, latest, "instances_cold", |snapshot| {
        snapshot.cold_instances
    });
    register_gauge(meter, latest, "members_live", |snapshot| snapshot.members);
    register_gauge(meter, latest, "configuration_revision", |snapshot| {
        snapshot.revision
    });
    register_credit_counter(meter, latest, "requests_completed", |line| line.completed);
    register_credit_counter(meter, latest, "credit_earned", |line| line.credit);
    register_service_counter(meter, latest, "zone_requests_kept", |line| line.counts.kept);
    register_service_counter(meter, latest, "zone_requests_overflowed", |line| {
        line.counts.overflowed
    });
    register_service_counter(meter, latest, "zone_requests_returned", |line| {
        line.counts.returned
    });
    register_service_counter(meter, latest, "zone_requests_sampled", |line| {
        line.counts.sampled
    });
    register_zone_share(meter, latest);
    register_zone_bytes(meter, latest, "zone_bytes_sent", |line| line.sent);
    register_zone_bytes(meter, latest, "zone_bytes_received", |line| line.received);
    register_connections(meter, latest);
}

fn register_counter(
    meter: &Meter,
    latest: &SharedSnapshot,
    name: &'static str,
    read: fn(&MetricsSnapshot) -> u64,
) {
    let latest = Arc::clone(latest);
    meter
        .u64_observable_counter(name)
        .with_callback(move |instrument| observe(instrument, &latest, read))
        .build();
}

/// Registers the counter of lost responses, with one series per reason.
fn register_losses(meter: &Meter, latest: &SharedSnapshot) {
    let latest = Arc::clone(latest);
    meter
        .u64_observable_counter("responses_lost")
        .with_callback(move |instrument| {
            let Ok(snapshot) = latest.lock() else {
                return;
            };
            for (reason, count) in ResponseLoss::REASONS.iter().zip(snapshot.totals.lost) {
                instrument.observe(count, &[KeyValue::new("reason", *reason)]);
            }
        })
        .build();
}

fn register_gauge(
    meter: &Meter,
    latest: &SharedSnapshot,
    name: &'static str,
    read: fn(&MetricsSnapshot) -> u64,
) {
    let latest = Arc::clone(latest);
    meter
        .u64_observable_gauge(name)
        .with_callback(move |instrument| observe(instrument, &latest, read))
        .build();
}

fn register_configuration_age(meter: &Meter, latest: &SharedSnapshot) {
    let latest = Arc::clone(latest);
    meter
        .f64_observable_gauge("configuration_age_seconds")
        .with_callback(move |instrument| {
            if let Ok(snapshot) = latest.lock()
                && let Some(age) = snapshot.configuration_age
            {
                instrument.observe(age.as_secs_f64(), &[]);
            }
        })
        .build();
}

/// Registers a gauge with a single series, whose labels name the source.
fn register_configuration_source(meter: &Meter, latest: &SharedSnapshot) {
    let latest = Arc::clone(latest);
    meter
        .u64_observable_gauge("configuration_source")
        .with_callback(move |instrument| {
            if let Ok(snapshot) = latest.lock()
                && let Some(source) = snapshot.configuration_source
            {
                let kind = KeyValue::new("source", source.kind());
                let peer = source.peer().map(|peer| peer.to_string());
                let peer = KeyValue::new("peer", peer.unwrap_or_default());
                instrument.observe(1, &[kind, peer]);
            }
        })
        .build();
}

fn observe(
    instrument: &dyn AsyncInstrument<u64>,
    latest: &SharedSnapshot,
    read: fn(&MetricsSnapshot) -> u64,
) {
    if let Ok(snapshot) = latest.lock() {
        instrument.observe(read(&snapshot), &[]);
    }
}

/// Registers a counter with one series per client account and request class.
fn register_credit_counter(
    meter: &Meter,
    latest: &SharedSnapshot,
    name: &'static str,
    read: fn(&CreditLine) -> u64,
) {
    let latest = Arc::clone(latest);
    meter
        .u64_observable_counter(name)
        .with_callback(move |instrument| {
            let Ok(snapshot) = latest.lock() else {
                return;
            };
            for line in &snapshot.credits {
                let account = KeyValue::new("account", line.account.to_string());
                let class = KeyValue::new("class", line.class.to_string());
                instrument.observe(read(line), &[account, class]);
            }
        })
        .build();
}

/// Registers a counter with one series per service.
fn register_service_counter(
    meter: &Meter,
    latest: &SharedSnapshot,
    name: &'static str,
    read: fn(&ZoneLine) -> u64,
) {
    let latest = Arc::clone(latest);
    meter
        .u64_observable_counter(name)
        .with_callback(move |instrument| observe_services(instrument, &latest, read))
        .build();
}

/// Registers the gauge of the overflow shares, with one series per service.
fn register_zone_share(meter: &Meter, latest: &SharedSnapshot) {
    let latest = Arc::clone(latest);
    meter
        .u64_observable_gauge("zone_overflow_permille")
        .with_callback(move |instrument| {
            observe_services(instrument, &latest, |line| line.share_permille);
        })
        .build();
}

fn observe_services(
    instrument: &dyn AsyncInstrument<u64>,
    latest: &SharedSnapshot,
    read: fn(&ZoneLine) -> u64,
) {
    let Ok(snapshot) = latest.lock() else {
        return;
    };
    for line in &snapshot.zones {
        let service = KeyValue::new("service", line.service.to_string());
        instrument.observe(read(line), &[service]);
    }
}

/// Registers the gauges and counters of connections, with one series per listener.
fn register_connections(meter: &Meter, latest: &SharedSnapshot) {
    let gauges: [(_, ReadConnections); 3] = [
        ("connections_open", |line| line.counts.open),
        ("connections_wide", |line| line.wide),
        ("connection_bytes_held", |line| line.counts.bytes),
    ];
    for (name, read) in gauges {
        let latest = Arc::clone(latest);
        meter
            .u64_observable_gauge(name)
            .with_callback(move |instrument| observe_connections(instrument, &latest, read))
            .build();
    }
    let counters: [(_, ReadConnections); 2] = [
        ("connections_closed_for_others", |line| line.counts.closed),
        ("connections_refused", |line| line.counts.refused),
    ];
    for (name, read) in counters {
        let latest = Arc::clone(latest);
        meter
            .u64_observable_counter(name)
            .with_callback(move |instrument| observe_connections(instrument, &latest, read))
            .build();
    }
}

fn observe_connections(
    instrument: &dyn AsyncInstrument<u64>,
    latest: &SharedSnapshot,
    read: ReadConnections,
) {
    let Ok(snapshot) = latest.lock() else {
        return;
    };
    for line in &snapshot.connections {
        instrument.observe(read(line), &[KeyValue::new("listener", line.listener)]);
    }
}

/// Registers a counter with one series per purpose of the bytes between zones.
fn register_zone_bytes(
    meter: &Meter,
    latest: &SharedSnapshot,
    name: &'static str,
    read: fn(&ZoneBytes) -> u64,
) {
    let latest = Arc::clone(latest);
    meter
        .u64_observable_counter(name)
        .with_callback(move |instrument| {
            let Ok(snapshot) = latest.lock() else {
                return;
            };
            for line in &snapshot.zone_bytes {
                let purpose = KeyValue::new("purpose", line.purpose.as_str());
                instrument.observe(read(line), &[purpose]);
            }
        })
        .build();
}
