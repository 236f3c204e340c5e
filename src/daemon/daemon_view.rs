//! Collects the state dump and the metrics of a daemon from its components.

use std::rc::Rc;

use serde_json::{Value, json};

use crate::config::ConfigHandle;
use crate::crashes::SuspectsHandle;
use crate::daemon::listener_connections::ListenerConnections;
use crate::egress::EgressHandle;
use crate::ids::BootId;
use crate::ingress::IngressHandle;
use crate::instances::AnnounceServer;
use crate::limits::LimitsHandle;
use crate::members::MembersHandle;
use crate::metrics::MetricsSnapshot;
use crate::peers::{PeerListener, ZoneTraffic};
use crate::settings::DaemonSettings;

/// Handles of all components, used to read their state.
pub(crate) struct DaemonView {
    pub(crate) config: ConfigHandle,
    pub(crate) members: MembersHandle,
    pub(crate) limits: LimitsHandle,
    pub(crate) egress: EgressHandle,
    pub(crate) ingress: IngressHandle,
    pub(crate) announce: Rc<AnnounceServer>,
    pub(crate) listener: Rc<PeerListener>,
    pub(crate) zone_traffic: Rc<ZoneTraffic>,
    pub(crate) suspects: SuspectsHandle,
    pub(crate) settings: DaemonSettings,
    pub(crate) boot: BootId,
    pub(crate) connections: ListenerConnections,
}

impl DaemonView {
    /// Builds the state dump as JSON, without secrets.
    pub(crate) fn dump(&self) -> Value {
        json!({
            "daemon": self.settings.daemon,
            "zone": self.settings.zone,
            "region": self.settings.region,
            "boot": self.boot,
            "config": self.config.dump(),
            "members": self.members.dump(),
            "instances": self.announce.dump(),
            "limits": self.limits.dump(),
            "ingress": self.ingress.dump(),
            "egress": self.egress.dump(),
            "suspects": self.suspects.suspects(),
            "refused_messages": self.listener.refused_messages(),
            "zone_bytes": self.zone_bytes(),
            "connections": self.connections.lines(),
        })
    }

    fn zone_bytes(&self) -> Value {
        let bytes = self.zone_traffic.bytes().into_iter();
        let lines = bytes.map(|line| {
            let counts = json!({ "sent": line.sent, "received": line.received });
            (line.purpose.as_str().to_owned(), counts)
        });
        Value::Object(lines.collect())
    }

    /// Reads the current values of the exported metrics.
    pub(crate) fn metrics(&self) -> MetricsSnapshot {
        MetricsSnapshot {
            totals: self.ingress.totals(),
            credits: self.ingress.credits(),
            egress_in_flight: self.egress.in_flight() as u64,
            answer_bytes: self.ingress.answer_bytes() as u64,
            cold_refusals: self.egress.cold_refusals(),
            cold_instances: self.egress.cold_instances(),
            members: self.members.live().len() as u64,
            revision: self.config.revision().0,
            configuration_age: self.config.age(),
            configuration_source: self.config.source(),
            silent_peers: self.config.silent_peers(),
            document_warnings: self.config.document_warnings(),
            instance_ends: self.suspects.instance_ends(),
            suspects: self.suspects.suspects().len() as u64,
            evacuation_refusals: self.egress.evacuation_refusals(),
            evacuated_zones: self.config.evacuated_zones().len() as u64,
            evacuation_age: self.config.evacuation_age().unwrap_or_default(),
            refused_messages: self.listener.refused_messages(),
            zones: self.ingress.zone_lines(),
            zone_bytes: self.zone_traffic.bytes().to_vec(),
            connections: self.connections.lines(),
        }
    }
}
