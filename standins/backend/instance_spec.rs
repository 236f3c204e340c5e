//! Start parameters of one simulated instance.

use std::net::SocketAddr;
use std::time::Duration;

use wagtailtrack::ids::{InstanceId, ServiceId};
use wagtailtrack::units::Slots;

use crate::command_line::CommandLine;

/// Parameters of one instance that stay the same while it runs.
#[derive(Debug, Clone)]
pub struct InstanceSpec {
    /// Address to listen on; port 0 for any free port.
    pub listen: SocketAddr,
    /// The local daemon's announce listener; without it, nothing is announced.
    pub announce: Option<SocketAddr>,
    /// Service that the instance belongs to.
    pub service: ServiceId,
    /// Name of the instance.
    pub instance: InstanceId,
    /// Number of requests that it runs concurrently.
    pub slots: Slots,
    /// Median service time.
    pub service_time: Duration,
    /// Duration of the starting phase.
    pub starting: Duration,
    /// Time after the starting phase over which the service time falls to its median.
    pub warm_up: Duration,
    /// Seed of the random service times and faults.
    pub seed: u64,
}

impl InstanceSpec {
    /// The parameters of each instance requested by the command line.
    pub fn from_command_line(line: &CommandLine) -> Vec<Self> {
        (0..line.count)
            .map(|index| Self::with_index(line, index))
            .collect()
    }

    fn with_index(line: &CommandLine, index: u16) -> Self {
        Self {
            listen: port_after(line.listen, index),
            announce: line.announce,
            service: line.service.clone(),
            instance: numbered(&line.instance, line.count, index),
            slots: line.slots,
            service_time: line.service_time.get(),
            starting: line.starting.get(),
            warm_up: line.cold.get(),
            seed: line.seed.wrapping_add(u64::from(index)),
        }
    }
}

/// The address `index` ports after `first`; port 0 stays, so that the system assigns one.
fn port_after(first: SocketAddr, index: u16) -> SocketAddr {
    match first.port() {
        0 => first,
        port => SocketAddr::new(first.ip(), port + index),
    }
}

/// `name` with the suffix of the instance `index`, unless it is the only instance.
fn numbered(name: &InstanceId, count: u16, index: u16) -> InstanceId {
    if count == 1 {
        return name.clone();
    }
    format!("{name}-{}", index + 1)
        .parse()
        .unwrap_or_else(|_| name.clone())
}
