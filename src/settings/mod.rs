//! Settings of the daemon, read from a TOML file and validated before anything starts.

mod baseline_settings;
mod daemon_settings;
mod header_settings;
mod limits_settings;
mod listen_settings;
mod operator_settings;
mod platform_settings;
mod proxy_settings;
mod service_settings;
mod settings_error;
mod zone_overflow;
mod zone_settings;

pub use baseline_settings::BaselineSettings;
pub use daemon_settings::DaemonSettings;
pub use header_settings::{HeaderField, HeaderFieldError, HeaderSettings};
pub use limits_settings::LimitsSettings;
pub use listen_settings::ListenSettings;
pub use operator_settings::OperatorSettings;
pub use platform_settings::PlatformSettings;
pub use proxy_settings::ProxySettings;
pub use service_settings::ServiceSettings;
pub use settings_error::SettingsError;
pub use zone_overflow::ZoneOverflow;
pub use zone_settings::ZoneSettings;
