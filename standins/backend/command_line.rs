//! The command line of the stand-in.

use std::net::SocketAddr;

use argh::FromArgs;
use wagtailtrack::ids::{InstanceId, ServiceId};
use wagtailtrack::units::{Slots, TimeSpan};

/// Runs instances of a backend server that can be made sick on request.
#[derive(Debug, FromArgs)]
pub struct CommandLine {
    /// address of the first instance; further ones take the ports that follow
    #[argh(option)]
    pub listen: SocketAddr,
    /// address of the announce listener of the daemon beside; none announces nothing
    #[argh(option)]
    pub announce: Option<SocketAddr>,
    /// service that the instances belong to
    #[argh(option)]
    pub service: ServiceId,
    /// name of the instance; with several, '-1', '-2' and so on follow it
    #[argh(option)]
    pub instance: InstanceId,
    /// number of instances in this process
    #[argh(option, default = "1")]
    pub count: u16,
    /// requests that an instance runs at the same time
    #[argh(option)]
    pub slots: Slots,
    /// median service time
    #[argh(option)]
    pub service_time: TimeSpan,
    /// time in the starting phase
    #[argh(option, default = "TimeSpan::from_millis(0)")]
    pub starting: TimeSpan,
    /// time after the starting phase until the service time has come down to its median
    #[argh(option, default = "TimeSpan::from_millis(0)")]
    pub cold: TimeSpan,
    /// seed of the service times and faults
    #[argh(option, default = "1")]
    pub seed: u64,
}
