//! Counts completed requests and the credit earned by them, for each client account and class.

use serde::Serialize;

use crate::hash::FastMap;
use crate::ids::AccountId;
use crate::resource::RequestClass;

/// Completed requests of one client account in one class.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct CreditLine {
    /// The client account.
    pub account: AccountId,
    /// The request class.
    pub class: RequestClass,
    /// Requests completed since the daemon started.
    pub completed: u64,
    /// Credit earned: the sum of the class weights of the completed requests; zero for a class that
    /// earns none.
    pub credit: u64,
}

/// Completed requests and credit by client account and class.
#[derive(Debug, Default)]
pub struct CreditLedger {
    /// Completed requests and credit.
    lines: FastMap<(AccountId, RequestClass), (u64, u64)>,
}

impl CreditLedger {
    /// Records one completed request whose class has `weight` in the service.
    pub fn record_completed(&mut self, account: &AccountId, class: RequestClass, weight: u32) {
        let (completed, credit) = self.lines.entry((account.clone(), class)).or_default();
        *completed += 1;
        if class.earns_credit() {
            *credit += u64::from(weight);
        }
    }

    /// Returns all lines, ordered by account and class.
    #[must_use]
    pub fn lines(&self) -> Vec<CreditLine> {
        let mut lines: Vec<_> = self
            .lines
            .iter()
            .map(|((account, class), (completed, credit))| CreditLine {
                account: account.clone(),
                class: *class,
                completed: *completed,
                credit: *credit,
            })
            .collect();
        lines.sort_by_key(|line| (line.account.clone(), line.class.to_string()));
        lines
    }
}
