//! How long the homes take to answer, to decide how long an answer is worth waiting for.

use std::time::Duration;

/// Time allowed while none is known. Equals the timeout of a token request.
const UNKNOWN_TIME: Duration = Duration::from_millis(200);
/// Shortest time allowed: above the scheduling delays of a VM with 1/10 of a core.
const MIN_TIME: Duration = Duration::from_millis(60);
/// Weight of the latest time in the mean, and of its distance in the mean deviation.
const MEAN_WEIGHT: f64 = 1.0 / 8.0;
const DEVIATION_WEIGHT: f64 = 1.0 / 4.0;
/// Deviations above the mean that an answer may take.
const DEVIATIONS: f64 = 4.0;

/// Mean and mean deviation of the time until an answer, as for the retransmission timeout of TCP
/// (RFC 6298).
#[derive(Debug, Clone, Copy, Default)]
pub struct AnswerTime {
    /// Mean and mean deviation, in seconds.
    known: Option<(f64, f64)>,
}

impl AnswerTime {
    /// Records that an answer took `span`.
    pub fn record(&mut self, span: Duration) {
        let span = span.as_secs_f64();
        self.known = Some(match self.known {
            None => (span, span / 2.0),
            Some((mean, deviation)) => {
                let distance = (span - mean).abs();
                (
                    mean + (span - mean) * MEAN_WEIGHT,
                    deviation + (distance - deviation) * DEVIATION_WEIGHT,
                )
            }
        });
    }

    /// The time after which an answer is overdue.
    #[must_use]
    pub fn longest(&self) -> Duration {
        let Some((mean, deviation)) = self.known else {
            return UNKNOWN_TIME;
        };
        let longest = Duration::from_secs_f64(mean + deviation * DEVIATIONS);
        longest.clamp(MIN_TIME, UNKNOWN_TIME)
    }
}
