//! Exporter that takes a snapshot of the daemon's counters on each scrape.

use std::fmt;
use std::sync::{Arc, Mutex};

use opentelemetry::KeyValue;
use opentelemetry::metrics::{AsyncInstrument, Meter, MeterProvider as _};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};

use crate::ingress::{CreditLine, RequestTotals};
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
    /// Number of live members, including this daemon.
    pub members: u64,
    /// Revision of the loaded configuration.
    pub revision: u64,
    /// Parts of configuration documents that could not be used as they stood, since the daemon
    /// started.
    pub document_warnings: u64,
    /// Messages of other daemons that were refused, since the daemon started.
    pub refused_messages: u64,
    /// Bytes exchanged with other zones by purpose, since the daemon started.
    pub zone_bytes: Vec<ZoneBytes>,
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
    register_counter(meter, latest, "requests_over_rate", |snapshot| {
        snapshot.totals.over_rate
    });
    register_counter(meter, latest, "request_retries", |snapshot| {
        snapshot.totals.retries
    });
    register_counter(meter, latest, "peer_messages_refused", |snapshot| {
        snapshot.refused_messages
    });
    register_counter(meter, latest, "configuration_warnings", |snapshot| {
        snapshot.document_warnings
    });
    register_counter(meter, latest, "log_lines_dropped", |_| {
        crate::logs::dropped_lines()
    });
    register_gauge(meter, latest, "egress_under_way", |snapshot| {
        snapshot.egress_in_flight
    });
    register_gauge(meter, latest, "members_live", |snapshot| snapshot.members);
    register_gauge(meter, latest, "configuration_revision", |snapshot| {
        snapshot.revision
    });
    register_credit_counter(meter, latest, "requests_completed", |line| line.completed);
    register_credit_counter(meter, latest, "credit_earned", |line| line.credit);
    register_zone_counter(meter, latest, "zone_bytes_sent", |line| line.sent);
    register_zone_counter(meter, latest, "zone_bytes_received", |line| line.received);
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

/// Registers a counter with one series per purpose of the bytes between zones.
fn register_zone_counter(
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
