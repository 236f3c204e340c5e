//! Structured logging: one line per event, with the component as log target and key-value pairs at
//! the end.

use std::fmt::Write as _;
use std::time::SystemTime;

use log::kv::{Key, Value, VisitSource};

/// Log targets, one per component of the daemon.
pub mod log_target {
    /// Startup, reload and shutdown.
    pub const DAEMON: &str = "daemon";
    /// Requests of callers.
    pub const INGRESS: &str = "ingress";
    /// Requests to the instances beside the daemon.
    pub const EGRESS: &str = "egress";
    /// Connections between daemons.
    pub const PEERS: &str = "peers";
    /// Membership gossip.
    pub const MEMBERS: &str = "members";
    /// Announcements of backend servers.
    pub const INSTANCES: &str = "instances";
    /// Rate limits.
    pub const LIMITS: &str = "limits";
    /// Requests that end the instances that run them.
    pub const CRASHES: &str = "crashes";
    /// Ejection and readmission of instances.
    pub const HEALTH: &str = "health";
    /// Configuration.
    pub const CONFIG: &str = "config";
    /// Calls to the platform.
    pub const PLATFORM: &str = "platform";
    /// Operators' API.
    pub const API: &str = "api";
}

mod log_queue;

pub use log_queue::{LogQueue, dropped_lines, flush};

/// Installs the global logger. It writes records of `level` and above to the standard output, through
/// a queue that never blocks a request.
///
/// # Errors
/// Fails if a logger is installed already.
pub fn open(level: log::LevelFilter) -> Result<(), log::SetLoggerError> {
    fern::Dispatch::new()
        .level(level)
        .format(|out, message, record| {
            let time = humantime::format_rfc3339_millis(SystemTime::now());
            let fields = format_fields(record);
            let (level, part) = (record.level(), record.target());
            out.finish(format_args!("{time} {level} {part}: {message}{fields}"));
        })
        .chain(Box::new(LogQueue::spawn()) as Box<dyn std::io::Write + Send>)
        .apply()
}

/// Formats the key-value pairs of a record as ` key=value` each.
fn format_fields(record: &log::Record<'_>) -> String {
    let mut fields = FieldText(String::new());
    // Writing into a string cannot fail.
    let _ = record.key_values().visit(&mut fields);
    fields.0
}

struct FieldText(String);

impl<'kvs> VisitSource<'kvs> for FieldText {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), log::kv::Error> {
        let _ = write!(self.0, " {key}={value}");
        Ok(())
    }
}
