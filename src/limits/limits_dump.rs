//! The state of the rate limits as JSON.

use serde_json::{Value, json};

use crate::limits::limits_core::LimitsCore;

/// Shares, loans, pools and tokens of `core`.
pub(crate) fn of(core: &LimitsCore) -> Value {
    let now = core.now();
    let ledger = core.ledger.borrow();
    let cells: Vec<Value> = ledger
        .cells()
        .into_iter()
        .map(|cell| {
            let shares = ledger.held(cell, now);
            json!({ "shard": cell.shard, "half": cell.half, "shares": shares.len() })
        })
        .collect();
    let holder = core.holder.borrow();
    let controller = core.controller.borrow();
    json!({
        "members": core.map.borrow().members().len(),
        "shares_leased": holder.held().iter().collect::<Vec<_>>(),
        "lease_left_secs": holder.earliest().map(|end| end.remaining(now).as_secs()),
        "shares_known": core.borrower.borrow().known_shares().len(),
        "cells": cells,
        "accounts_pooled": ledger.accounts(),
        "accounts_held": controller.accounts(),
        "waiting": controller.waiting(),
        "admitted": core.admitted.get(),
        "refused": core.refused.get(),
    })
}
