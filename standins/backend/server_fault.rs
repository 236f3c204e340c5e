//! The sicknesses that an instance can be given.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use wagtailtrack::units::{Percent, TimeSpan};

/// How an instance misbehaves.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ServerFault {
    /// Not at all.
    #[default]
    Normal,
    /// Its service time is this many times as long.
    Slow(f64),
    /// It answers with a body, tag and checksum that are not the request's.
    Wrong,
    /// It cuts the connection midway through the body.
    Cut,
    /// It answers this share of requests with 500.
    Failing(Percent),
    /// It answers this share of requests with 503, as one that sheds load.
    Shedding(Percent),
    /// It answers with 500 in every second half of this period.
    Flapping(TimeSpan),
    /// It accepts and never answers.
    Frozen,
    /// Connections open now never answer again; new ones work.
    Silent,
}

/// What a fault does to one request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum FaultEffect {
    /// Serves it, with the service time times this factor.
    Serve(f64),
    /// Serves it and answers wrongly.
    ServeWrong,
    /// Serves it and cuts the body.
    ServeCut,
    /// Answers 500 at once.
    Fail,
    /// Answers 503 at once.
    Shed,
    /// Never answers.
    Hang,
}

impl ServerFault {
    /// The effect on a request that comes `since` after the fault was set.
    pub fn effect(self, since: Duration, rng: &mut fastrand::Rng) -> FaultEffect {
        match self {
            Self::Normal | Self::Silent => FaultEffect::Serve(1.0),
            Self::Slow(factor) => FaultEffect::Serve(factor),
            Self::Wrong => FaultEffect::ServeWrong,
            Self::Cut => FaultEffect::ServeCut,
            Self::Failing(share) if hits(share, rng) => FaultEffect::Fail,
            Self::Shedding(share) if hits(share, rng) => FaultEffect::Shed,
            Self::Flapping(period) if is_bad_half(period, since) => FaultEffect::Fail,
            Self::Failing(_) | Self::Shedding(_) | Self::Flapping(_) => FaultEffect::Serve(1.0),
            Self::Frozen => FaultEffect::Hang,
        }
    }
}

fn hits(share: Percent, rng: &mut fastrand::Rng) -> bool {
    rng.u8(0..100) < share.get()
}

fn is_bad_half(period: TimeSpan, since: Duration) -> bool {
    let period = period.get().as_micros().max(2);
    since.as_micros() % period < period / 2
}
