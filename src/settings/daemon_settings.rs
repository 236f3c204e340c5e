//! All settings of one daemon.

use std::net::SocketAddr;
use std::path::Path;

use serde::Deserialize;

use crate::ids::{DaemonId, RegionId, ServiceId, ZoneId};
use crate::limits::MAX_SHARES;
use crate::settings::{
    BaselineSettings, HeaderSettings, LimitsSettings, ListenSettings, OperatorSettings,
    PlatformSettings, ProxySettings, ServiceSettings, SettingsError,
};
use crate::units::TimeSpan;

const LEAST_FRESHNESS: TimeSpan = TimeSpan::from_secs(3);
const LEAST_SECRET_BYTES: usize = 16;

/// The checked settings of a daemon.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DaemonSettings {
    /// Name of the daemon's slot.
    pub daemon: DaemonId,
    /// Region of its VM.
    pub region: RegionId,
    /// Availability zone of its VM.
    pub zone: ZoneId,
    /// Service of the backend server on its VM, told to those that its requests reach.
    #[serde(default)]
    pub service: Option<ServiceId>,
    /// Secret that all daemons of the fleet share.
    pub fleet_secret: String,
    /// Lowest level that is logged.
    #[serde(default = "default_level")]
    pub log_level: log::LevelFilter,
    /// Peers to ask first.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Own addresses.
    pub listen: ListenSettings,
    /// The platform's service.
    pub platform: PlatformSettings,
    /// The operators' credential.
    pub operators: OperatorSettings,
    /// Names of headers.
    #[serde(default)]
    pub headers: HeaderSettings,
    /// The request path.
    #[serde(default)]
    pub proxy: ProxySettings,
    /// Rules of services of which the configuration gives none.
    #[serde(default)]
    pub services: ServiceSettings,
    /// The rate limits.
    #[serde(default)]
    pub limits: LimitsSettings,
    /// Plain decisions, for the measuring tool.
    #[serde(default)]
    pub baseline: BaselineSettings,
}

const fn default_level() -> log::LevelFilter {
    log::LevelFilter::Info
}

impl DaemonSettings {
    /// Reads and checks the settings in the file at `path`.
    ///
    /// # Errors
    /// `SettingsError` names the field, the value and the remedy.
    pub fn open(path: &Path) -> Result<Self, SettingsError> {
        let text = std::fs::read_to_string(path)
            .map_err(|cause| SettingsError::Read(path.to_owned(), cause))?;
        let settings: Self = toml::from_str(&text)
            .map_err(|cause| SettingsError::Parse(path.to_owned(), cause.to_string()))?;
        settings.check()?;
        Ok(settings)
    }

    /// The names of the parts in which `other` differs, the log level left out.
    #[must_use]
    pub fn changed_fields(&self, other: &Self) -> Vec<&'static str> {
        let pairs = self.parts().into_iter().zip(other.parts());
        let changed = pairs.filter(|(own, its)| own != its);
        changed.map(|((name, _), _)| name).collect()
    }

    /// Each part by name, as a text that differs when the part does.
    fn parts(&self) -> [(&'static str, String); 14] {
        let text = |part: &dyn std::fmt::Debug| format!("{part:?}");
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
        if self.fleet_secret.len() < LEAST_SECRET_BYTES {
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
        if platform.freshness < LEAST_FRESHNESS {
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
