//! The command line of the simulated backend server.

use std::net::SocketAddr;

use argh::FromArgs;
use wagtailtrack::ids::{InstanceId, ServiceId};
use wagtailtrack::units::{Slots, TimeSpan};

/// Runs simulated backend server instances with faults that can be injected over HTTP.
#[derive(Debug, FromArgs)]
pub struct CommandLine {
    /// address of the first instance; further instances listen on the following ports
    #[argh(option)]
    pub listen: SocketAddr,
    /// address of the local daemon's announce listener; without it, nothing is announced
    #[argh(option)]
    pub announce: Option<SocketAddr>,
    /// service that the instances belong to
    #[argh(option)]
    pub service: ServiceId,
    /// name of the instance; with a count above 1, the suffixes '-1', '-2' and so on are added
    #[argh(option)]
    pub instance: InstanceId,
    /// number of instances in this process
    #[argh(option, default = "1")]
    pub count: u16,
    /// number of requests that an instance runs concurrently
    #[argh(option)]
    pub slots: Slots,
    /// median service time
    #[argh(option)]
    pub service_time: TimeSpan,
    /// duration of the starting phase
    #[argh(option, default = "TimeSpan::from_millis(0)")]
    pub starting: TimeSpan,
    /// time after the starting phase over which the service time falls to its median
    #[argh(option, default = "TimeSpan::from_millis(0)")]
    pub cold: TimeSpan,
    /// seed of the random service times and faults
    #[argh(option, default = "1")]
    pub seed: u64,
}
