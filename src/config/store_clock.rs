//! When an answer of the store was true, by the own clock.

use crate::time::MonoTime;

/// Milliseconds that the store's clock may have been cut by rounding.
const ROUNDING_MICROS: u64 = 1_000;
/// How fast the two clocks may drift apart: one part in this many.
const DRIFT_PARTS: u64 = 1_000;

/// Turns readings of the store's steady clock into the latest own time that surely lies before
/// them.
///
/// A question sent at `s` and answered with the store's time `t` shows that the store's clock
/// read at most `t` at `s`. The tightest such bound, widened by drift since, dates every later
/// answer, also one that came after a long wait at the store.
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
    /// Takes an answer to a question sent at `sent`; the own time at or before which the store
    /// gave it, never before `sent`.
    pub fn answer_lower_bound(
        &mut self,
        sent: MonoTime,
        received: MonoTime,
        store_millis: u64,
    ) -> MonoTime {
        let store_micros = store_millis.saturating_mul(1_000);
        let dated = self
            .bound
            .filter(|bound| store_micros >= bound.store_micros)
            .map_or(sent, |bound| bound.lower_bound(store_micros));
        let dated = dated.max(sent).min(received);
        let is_tighter = self.bound.is_none_or(|bound| {
            store_micros < bound.store_micros || bound.lower_bound(store_micros) <= sent
        });
        if is_tighter {
            self.bound = Some(ClockBound { sent, store_micros });
        }
        dated
    }
}

impl ClockBound {
    /// The own time that surely lies before the store's clock read `store_micros`.
    fn lower_bound(&self, store_micros: u64) -> MonoTime {
        let passed = store_micros - self.store_micros;
        let surely = passed.saturating_sub(passed / DRIFT_PARTS + ROUNDING_MICROS);
        MonoTime::from_micros(self.sent.micros() + surely)
    }
}
