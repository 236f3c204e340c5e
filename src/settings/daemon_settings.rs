//! The settings file of one daemon, with its validation.

use std::net::SocketAddr;
use std::path::Path;

use serde::Deserialize;

use crate::ids::{DaemonId, RegionId, ServiceId, ZoneId};
use crate::limits::MAX_SHARES;
use crate::settings::{
    BaselineSettings, HeaderSettings, LimitsSettings, ListenSettings, OperatorSettings,
    PlatformSettings, ProxySettings, ServiceSettings, SettingsError, ZoneSettings,
};
use crate::units::TimeSpan;

/// Lower bound of `platform.freshness`; daemons ask each other once a second.
const MIN_FRESHNESS: TimeSpan = TimeSpan::from_secs(3);
/// Lower bound of the length of `fleet_secret`, in bytes.
const MIN_SECRET_BYTES: usize = 16;

/// The validated settings of a daemon.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DaemonSettings {
    /// Name of this daemon.
    pub daemon: DaemonId,
    /// Region of this daemon's VM.
    pub region: RegionId,
    /// Availability zone of this daemon's VM.
    pub zone: ZoneId,
    /// Service of the backend server on this VM, if any. Its requests carry the name to the backend
    /// servers that they reach, in the header `headers.caller`.
    #[serde(default)]
    pub service: Option<ServiceId>,
    /// Secret that all daemons of the fleet share; at least 16 bytes.
    pub fleet_secret: String,
    /// Least severe level that is logged. A reload of the file changes it without a restart.
    #[serde(default = "default_level")]
    pub log_level: log::LevelFilter,
    /// Peer addresses of other daemons to contact first when joining the membership.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Time over which daemons that start together spread their first call to the platform.
    #[serde(default = "default_spread")]
    pub start_spread: TimeSpan,
    /// Time after the start in which instances are used from their first announcement on, whatever an
    /// earlier process of this daemon knew of them. Afterwards a later announcement must confirm them.
    #[serde(default = "default_trust")]
    pub start_trust: TimeSpan,
    /// Addresses on which the daemon listens.
    pub listen: ListenSettings,
    /// Address of the platform's service and limits on its use.
    pub platform: PlatformSettings,
    /// Credential of the operators' API.
    pub operators: OperatorSettings,
    /// Names of the HTTP headers that the proxy reads and sends.
    #[serde(default)]
    pub headers: HeaderSettings,
    /// Sizes, deadlines and retries of proxied requests.
    #[serde(default)]
    pub proxy: ProxySettings,
    /// Defaults for services for which the configuration gives no rules.
    #[serde(default)]
    pub services: ServiceSettings,
    /// Leases and loans of the fleet-wide rate limits.
    #[serde(default)]
    pub limits: LimitsSettings,
    /// Passage of control traffic between availability zones.
    #[serde(default)]
    pub zones: ZoneSettings,
    /// Baselines that benchmarks compare against.
    #[serde(default)]
    pub baseline: BaselineSettings,
}

const fn default_spread() -> TimeSpan {
    TimeSpan::from_millis(0)
}

const fn default_trust() -> TimeSpan {
    TimeSpan::from_secs(3)
}

const fn default_level() -> log::LevelFilter {
    log::LevelFilter::Info
}

impl DaemonSettings {
    /// Reads and validates the settings file at `path`.
    ///
    /// # Errors
    /// Returns [`SettingsError`] if the file cannot be read or parsed, or if a value is out of bounds.
    pub fn open(path: &Path) -> Result<Self, SettingsError> {
        let text = std::fs::read_to_string(path)
            .map_err(|cause| SettingsError::Read(path.to_owned(), cause))?;
        let settings: Self = toml::from_str(&text)
            .map_err(|cause| SettingsError::Parse(path.to_owned(), cause.to_string()))?;
        settings.check()?;
        Ok(settings)
    }

    /// Names of the top-level fields in which `other` differs, except `log_level`, and `start_spread` and
    /// `start_trust`, which only matter at the start.
    #[must_use]
    pub fn changed_fields(&self, other: &Self) -> Vec<&'static str> {
        let pairs = self.field_texts().into_iter().zip(other.field_texts());
        let changed = pairs.filter(|(own, its)| own != its);
        changed.map(|((name, _), _)| name).collect()
    }

    /// Name and debug text of each top-level field except those that `changed_fields` leaves out; two texts
    /// differ if the fields differ.
    fn field_texts(&self) -> [(&'static str, String); 15] {
        let text = |field: &dyn std::fmt::Debug| format!("{field:?}");
        [
            ("daemon", text(&self.daemon)),
            ("region", text(&self.region)),
            ("zone", text(&self.zone)),
            ("service", text(&self.service)),
            ("fleet_secret", text(&self.fleet_secret)),
            ("seeds", text(&self.seeds)),
            ("listen", text(&self.listen)),
            ("platform", text(&self.platform)),
            ("operators", text(&self.operators)),
            ("headers", text(&self.headers)),
            ("proxy", text(&self.proxy)),
            ("services", text(&self.services)),
            ("limits", text(&self.limits)),
            ("zones", text(&self.zones)),
            ("baseline", text(&self.baseline)),
        ]
    }

    fn check(&self) -> Result<(), SettingsError> {
        self.check_secret()?;
        self.check_addresses()?;
        self.check_platform()?;
        self.check_proxy()?;
        self.check_limits()
    }

    fn check_secret(&self) -> Result<(), SettingsError> {
        if self.fleet_secret.len() < MIN_SECRET_BYTES {
            return Err(SettingsError::Value(
                "fleet_secret",
                format!("{} bytes", self.fleet_secret.len()),
                "use at least 16 bytes, the same on every daemon",
            ));
        }
        Ok(())
    }

    fn check_addresses(&self) -> Result<(), SettingsError> {
        let listen = &self.listen;
        let named = [
            ("listen.callers", listen.callers),
            ("listen.peers", listen.peers),
            ("listen.admin", listen.admin),
            ("listen.announce", listen.announce),
        ];
        for (index, (field, address)) in named.iter().enumerate() {
            if named[..index].iter().any(|(_, earlier)| earlier == address) {
                return Err(SettingsError::Value(
                    field,
                    address.to_string(),
                    "give each listener an address of its own",
                ));
            }
        }
        Ok(())
    }

    fn check_platform(&self) -> Result<(), SettingsError> {
        let platform = &self.platform;
        if platform.freshness < MIN_FRESHNESS {
            return Err(SettingsError::Value(
                "platform.freshness",
                platform.freshness.to_string(),
                "use at least 3s, since daemons ask each other once a second",
            ));
        }
        if platform.head_polls_per_second == 0 {
            return Err(SettingsError::Value(
                "platform.head_polls_per_second",
                platform.head_polls_per_second.to_string(),
                "use at least 1 for the whole fleet",
            ));
        }
        Ok(())
    }

    fn check_proxy(&self) -> Result<(), SettingsError> {
        if self.proxy.default_deadline > self.proxy.max_deadline {
            return Err(SettingsError::Value(
                "proxy.default_deadline",
                self.proxy.default_deadline.to_string(),
                "make it no longer than proxy.max_deadline",
            ));
        }
        // The descriptors of the process that checks may differ from the daemon's, which checks again.
        self.proxy.connection_limits(None)?;
        Ok(())
    }

    fn check_limits(&self) -> Result<(), SettingsError> {
        let limits = &self.limits;
        if limits.shares == 0 || limits.shares_per_daemon == 0 {
            return Err(SettingsError::Value(
                "limits.shares",
                limits.shares.to_string(),
                "use at least 1 share, and at least 1 per daemon",
            ));
        }
        if limits.shares > MAX_SHARES {
            return Err(SettingsError::Value(
                "limits.shares",
                limits.shares.to_string(),
                "use at most 64 shares, the same number on every daemon",
            ));
        }
        if limits.grant > limits.loan {
            return Err(SettingsError::Value(
                "limits.grant",
                limits.grant.to_string(),
                "make it no longer than limits.loan",
            ));
        }
        if limits.renew.get() * 2 > limits.lease.get() {
            return Err(SettingsError::Value(
                "limits.renew",
                limits.renew.to_string(),
                "make it at most half of limits.lease",
            ));
        }
        Ok(())
    }
}
