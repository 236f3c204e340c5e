//! How long a request can afford to wait for a slot.

use std::time::Duration;

/// Longest wait in the own zone while most of its capacity is unusable, so that the overflow sets in
/// before long queues have built up there.
const REDUCED_ZONE_WAIT: Duration = Duration::from_millis(150);

/// Part of the time until the goal that the expected wait may take, as waits often last longer than
/// expected.
const USED_PART: f64 = 0.75;

/// The longest waits for a slot that leave a request enough time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WaitLimits {
    /// Longest wait in the own zone while other zones may have a free slot.
    pub home: Duration,
    /// Longest wait after which the request is still in time.
    pub timely: Duration,
    /// Expected service time. Waits that differ by less count as equal.
    pub service_time: Duration,
}

impl WaitLimits {
    /// Returns the limits of a request that takes `service_time` and has `goal_left` until its goal,
    /// if it has one, and `remaining` until its deadline. `is_reduced` tells that most of the own
    /// zone's capacity is unusable.
    ///
    /// A request without a goal may wait for half of the remaining time; one whose goal cannot be met
    /// any more only for about the first free slot.
    #[must_use]
    pub fn open(
        goal_left: Option<Duration>,
        remaining: Duration,
        service_time: Duration,
        is_reduced: bool,
    ) -> Self {
        let slack = goal_left.map(|left| left.min(remaining).saturating_sub(service_time));
        let timely = match slack {
            None => remaining / 2,
            Some(Duration::ZERO) => service_time.min(remaining / 2),
            Some(slack) => slack.mul_f64(USED_PART),
        };
        let home = match is_reduced {
            true => timely.min(REDUCED_ZONE_WAIT),
            false => timely,
        };
        Self {
            home,
            timely,
            service_time,
        }
    }
}
