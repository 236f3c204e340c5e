//! Maps times on the store's monotonic clock to lower bounds on the local clock.

use crate::time::MonoTime;

/// Largest rounding error of the store's clock, in microseconds: it reports whole milliseconds.
const ROUNDING_MICROS: u64 = 1_000;
/// Inverse of the largest relative drift between the two clocks: 1 ms per second.
const DRIFT_DIVISOR: u64 = 1_000;

/// Estimates the local time at which the store gave an answer, as a lower bound.
///
/// A query sent at local time `s` and answered with the store's time `t` shows that the store's
/// clock read at most `t` at `s`. The tightest of these bounds, widened by the drift since, gives a
/// lower bound for every later answer, including one that came after a long wait at the store.
#[derive(Debug, Clone, Copy, Default)]
pub struct StoreClock {
    bound: Option<ClockBound>,
}

#[derive(Debug, Clone, Copy)]
struct ClockBound {
    sent: MonoTime,
    store_micros: u64,
}

impl StoreClock {
    /// Records an answer to a query sent at `sent`, and returns a lower bound on the local time at
    /// which the store gave it. The bound is never before `sent` or after `received`.
    pub fn answer_lower_bound(
        &mut self,
        sent: MonoTime,
        received: MonoTime,
        store_millis: u64,
    ) -> MonoTime {
        let store_micros = store_millis.saturating_mul(1_000);
        let answered_at = self
            .bound
            .filter(|bound| store_micros >= bound.store_micros)
            .map_or(sent, |bound| bound.lower_bound(store_micros));
        let answered_at = answered_at.max(sent).min(received);
        let is_tighter = self.bound.is_none_or(|bound| {
            store_micros < bound.store_micros || bound.lower_bound(store_micros) <= sent
        });
        if is_tighter {
            self.bound = Some(ClockBound { sent, store_micros });
        }
        answered_at
    }
}

impl ClockBound {
    /// Latest local time that is certainly before the store's clock read `store_micros`.
    fn lower_bound(&self, store_micros: u64) -> MonoTime {
        let elapsed = store_micros - self.store_micros;
        let min_elapsed = elapsed.saturating_sub(elapsed / DRIFT_DIVISOR + ROUNDING_MICROS);
        MonoTime::from_micros(self.sent.micros() + min_elapsed)
    }
}
