//! Times at which the refused callers of a client account are told to come back to an ingress, and
//! the tokens reserved for them.

use std::collections::VecDeque;
use std::time::Duration;

use crate::hash::mixed_score;
use crate::limits::GrantedShare;
use crate::time::{Deadline, MonoTime};
use crate::units::Rate;

/// Part of the granted tokens that is reserved: grants come unevenly, and a reservation that fails
/// delays all later ones.
const RESERVED_PART: f64 = 0.9;
/// How much before its time a caller counts as the one that was told.
const EARLY: Duration = Duration::from_millis(2);
/// How long after its time a token is kept for the caller: the way to the caller and back, and the
/// precision of its timer.
const LATE: Duration = Duration::from_millis(50);
/// How long before the time of a return its token is requested from a home and kept, and how long
/// before it the request becomes urgent. Homes without tokens are asked again after up to 100 ms.
const FETCH_AHEAD: Duration = Duration::from_millis(250);
const URGENT_AHEAD: Duration = Duration::from_millis(60);
/// Largest random part of a return time. It is smaller than a quarter of the time between two
/// returns, so that their order holds, except where these are closer than `MIN_JITTER`.
const MAX_JITTER: Duration = Duration::from_millis(20);
const MIN_JITTER: Duration = Duration::from_millis(4);
const JITTER_DIVISOR: u32 = 4;
/// Callers wait at most this part of the time that they have left.
const ACCEPTED_DIVISOR: u32 = 3;
/// Longest retry delay in a refusal.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);
/// Largest number of reservations for one account.
const MAX_RETURNS: usize = 4_096;

/// The returns of one client account's callers to one ingress.
///
/// Callers have no identity besides the account, so a reservation is only a time: a request that
/// arrives at about that time counts as the caller that was told.
#[derive(Debug)]
pub struct ReturnSchedule {
    share: GrantedShare,
    /// Times of the reserved returns, in order.
    returns: VecDeque<MonoTime>,
    /// When the next caller may be told to come.
    next_free: MonoTime,
    /// When the next caller that found no token when it came may be told to come again.
    next_repeated: MonoTime,
    /// Number of refusals, which selects the jitter.
    refusals: u64,
    seed: u64,
    counts: ReturnCounts,
}

/// Counts of reserved returns.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, serde::Serialize)]
pub struct ReturnCounts {
    /// Refusals with a reserved token.
    pub reserved: u64,
    /// Refusals with a time that the caller does not accept, and thus without a reserved token.
    pub unreserved: u64,
    /// Requests that arrived at a reserved time.
    pub returned: u64,
    /// Reservations that passed without a request.
    pub lapsed: u64,
}

impl std::ops::AddAssign for ReturnCounts {
    fn add_assign(&mut self, other: Self) {
        self.reserved += other.reserved;
        self.unreserved += other.unreserved;
        self.returned += other.returned;
        self.lapsed += other.lapsed;
    }
}

impl ReturnSchedule {
    /// Creates an empty schedule. `seed` selects the jitter and should differ between ingresses.
    #[must_use]
    pub fn open(rate: Rate, seed: u64, now: MonoTime) -> Self {
        Self {
            share: GrantedShare::open(rate, now),
            returns: VecDeque::new(),
            next_free: now,
            next_repeated: now,
            refusals: 0,
            seed,
            counts: ReturnCounts::default(),
        }
    }

    /// Learns this ingress's share of the rate from an answer of a home.
    pub fn record_answer(&mut self, is_short: bool, now: MonoTime) {
        self.share.record_answer(is_short, now);
    }

    /// Learns this ingress's share of the rate from a spent token.
    pub fn record_spent(&mut self) {
        self.share.record_spent();
    }

    /// Applies a changed rate.
    pub fn set_rate(&mut self, rate: Rate) {
        self.share.set_rate(rate);
    }

    /// Whether a request that arrives now counts as a caller that was told to. Its reservation ends.
    pub fn redeem(&mut self, now: MonoTime) -> bool {
        self.expire(now);
        let is_due = self.returns.front().is_some_and(|at| *at <= now + EARLY);
        if is_due {
            self.returns.pop_front();
            self.counts.returned += 1;
        }
        is_due
    }

    /// Removes the reservations whose callers did not come.
    pub fn expire(&mut self, now: MonoTime) {
        while self.returns.front().is_some_and(|at| *at + LATE < now) {
            self.returns.pop_front();
            self.counts.lapsed += 1;
        }
    }

    /// Number of tokens that only callers that were told to come may spend now.
    #[must_use]
    pub fn reserved(&self, now: MonoTime) -> u32 {
        self.count_until(now + FETCH_AHEAD, now)
    }

    /// Number of tokens needed in a moment.
    #[must_use]
    pub fn urgently_reserved(&self, now: MonoTime) -> u32 {
        self.count_until(now + URGENT_AHEAD, now)
    }

    /// Number of tokens that callers need that were told to come until `end`.
    #[must_use]
    pub fn reserved_until(&self, end: MonoTime, now: MonoTime) -> u32 {
        self.count_until(end, now)
    }

    fn count_until(&self, horizon: MonoTime, now: MonoTime) -> u32 {
        let due = self.returns.iter().take_while(|at| **at <= horizon);
        let live = due.filter(|at| **at + LATE >= now);
        u32::try_from(live.count()).unwrap_or(u32::MAX)
    }

    /// Returns the retry delay of a refusal, and reserves a token for that time if the caller accepts
    /// the delay.
    ///
    /// `earliest` is when a home may have tokens. `was_told` is whether the request came when told:
    /// such a caller gets the next token, ahead of the other reservations.
    pub fn refuse(
        &mut self,
        earliest: MonoTime,
        deadline: Deadline,
        was_told: bool,
        now: MonoTime,
    ) -> Duration {
        self.expire(now);
        self.refusals += 1;
        let interval = self.interval();
        let first = earliest.max(now + interval);
        let time = match was_told {
            true => first.max(self.next_repeated),
            false => first.max(self.next_free),
        };
        let wait = (time + self.jitter(interval)).since(now);
        let wait = wait.min(MAX_RETRY_AFTER);
        let accepted = deadline.remaining(now) / ACCEPTED_DIVISOR;
        if wait > accepted || self.returns.len() >= MAX_RETURNS {
            self.counts.unreserved += 1;
            return wait;
        }
        let at = now + wait;
        let index = self.returns.partition_point(|other| *other <= at);
        self.returns.insert(index, at);
        self.next_free = time.max(self.next_free) + interval;
        if was_told {
            self.next_repeated = time + interval;
        }
        self.counts.reserved += 1;
        wait
    }

    /// Whether no reservation is left.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.returns.is_empty()
    }

    /// Counts since the schedule was created.
    #[must_use]
    pub const fn counts(&self) -> ReturnCounts {
        self.counts
    }

    /// Time between two returns. Zero while the share is unknown: only the home's word counts then.
    fn interval(&self) -> Duration {
        let share = self.share.per_second();
        share.map_or(Duration::ZERO, |share| {
            Duration::from_secs_f64(1.0 / (share * RESERVED_PART))
        })
    }

    fn jitter(&self, interval: Duration) -> Duration {
        let longest = (interval / JITTER_DIVISOR).clamp(MIN_JITTER, MAX_JITTER);
        let longest = longest.as_micros();
        let longest = u64::try_from(longest).unwrap_or(0);
        Duration::from_micros(mixed_score(self.seed, self.refusals) % (longest + 1))
    }
}
