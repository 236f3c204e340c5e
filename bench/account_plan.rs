//! The client accounts and their rates.

/// Share of the load of each client account, in hundredths; a few are large.
const SHARES: [u64; 8] = [30, 25, 15, 10, 8, 6, 4, 2];
const HUNDRED: f64 = 100.0;
/// An account sends this part of its rate while it behaves.
const USED_PART: f64 = 0.8;
/// A burst lasts for this part of a second of the rate.
const BURST_SECONDS: f64 = 1.0;
const LEAST_BURST: f64 = 20.0;

/// One client account of the load.
#[derive(Debug, Clone)]
pub struct AccountPlan {
    /// Its name.
    pub name: String,
    /// The secret of its key.
    pub secret: String,
    /// Its rate, in requests a second.
    pub rate: u64,
    /// Its burst.
    pub burst: u64,
}

impl AccountPlan {
    /// Eight accounts that together send `total` requests a second while they behave.
    pub fn for_load(total: f64) -> Vec<Self> {
        SHARES
            .iter()
            .enumerate()
            .map(|(index, share)| {
                let sent = total * *share as f64 / HUNDRED;
                Self::named(&format!("account-{}", index + 1), sent / USED_PART)
            })
            .collect()
    }

    /// An account with `rate` requests a second; its key is issued later.
    pub fn named(name: &str, rate: f64) -> Self {
        let burst = (rate * BURST_SECONDS).max(LEAST_BURST);
        Self {
            name: name.to_owned(),
            secret: String::new(),
            rate: rate.ceil() as u64,
            burst: burst.ceil() as u64,
        }
    }
}
