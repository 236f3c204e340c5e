//! What one instance is started with.

use std::net::SocketAddr;
use std::time::Duration;

use wagtailtrack::ids::{InstanceId, ServiceId};
use wagtailtrack::units::Slots;

use crate::command_line::CommandLine;

/// The fixed properties of one instance.
#[derive(Debug, Clone)]
pub struct InstanceSpec {
    /// Where it listens.
    pub listen: SocketAddr,
    /// The announce listener of the daemon beside it.
    pub announce: Option<SocketAddr>,
    /// Its service.
    pub service: ServiceId,
    /// Its name.
    pub instance: InstanceId,
    /// Requests that it runs at the same time.
    pub slots: Slots,
    /// Median service time.
    pub service_time: Duration,
    /// Time in the starting phase.
    pub starting: Duration,
    /// Time until the service time has come down to its median.
    pub cold: Duration,
    /// Seed of its service times and faults.
    pub seed: u64,
}

impl InstanceSpec {
    /// The instances that `line` asks for.
    pub fn of_line(line: &CommandLine) -> Vec<Self> {
        (0..line.count)
            .map(|index| Self::of_index(line, index))
            .collect()
    }

    fn of_index(line: &CommandLine, index: u16) -> Self {
        Self {
            listen: port_after(line.listen, index),
            announce: line.announce,
            service: line.service.clone(),
            instance: numbered(&line.instance, line.count, index),
            slots: line.slots,
            service_time: line.service_time.get(),
            starting: line.starting.get(),
            cold: line.cold.get(),
            seed: line.seed.wrapping_add(u64::from(index)),
        }
    }
}

fn port_after(first: SocketAddr, index: u16) -> SocketAddr {
    match first.port() {
        0 => first,
        port => SocketAddr::new(first.ip(), port + index),
    }
}

fn numbered(name: &InstanceId, count: u16, index: u16) -> InstanceId {
    if count == 1 {
        return name.clone();
    }
    format!("{name}-{}", index + 1)
        .parse()
        .unwrap_or_else(|_| name.clone())
}
