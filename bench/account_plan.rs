//! Client accounts of the benchmark load, with their rate limits.

/// Percentage of the load that each client account sends; a few accounts send most of it.
const SHARES: [u64; 8] = [30, 25, 15, 10, 8, 6, 4, 2];
const HUNDRED: f64 = 100.0;
/// An account within its limit sends this fraction of its rate limit.
const SENT_FRACTION: f64 = 0.8;
/// Burst, in seconds of the rate limit.
const BURST_SECONDS: f64 = 1.0;
/// Minimum burst, in requests.
const MIN_BURST: f64 = 20.0;

/// A client account and its rate limit.
#[derive(Debug, Clone)]
pub struct AccountPlan {
    /// Account ID.
    pub name: String,
    /// Secret of the account's key; empty until the key is issued.
    pub secret: String,
    /// Rate limit, in requests per second.
    pub rate: u64,
    /// Burst, in requests.
    pub burst: u64,
}

impl AccountPlan {
    /// Eight accounts that together send `total` requests per second while each stays within its
    /// limit.
    pub fn for_load(total: f64) -> Vec<Self> {
        SHARES
            .iter()
            .enumerate()
            .map(|(index, share)| {
                let sent = total * *share as f64 / HUNDRED;
                Self::with_rate(&format!("account-{}", index + 1), sent / SENT_FRACTION)
            })
            .collect()
    }

    /// An account limited to `rate` requests per second, without a key.
    pub fn with_rate(name: &str, rate: f64) -> Self {
        let burst = (rate * BURST_SECONDS).max(MIN_BURST);
        Self {
            name: name.to_owned(),
            secret: String::new(),
            rate: rate.ceil() as u64,
            burst: burst.ceil() as u64,
        }
    }
}
