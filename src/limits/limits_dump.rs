//! JSON dump of the rate limits' state, for operators.

use serde_json::{Value, json};

use crate::limits::limits_core::LimitsCore;

/// Leased shares, pools, cached accounts and counters of `core`.
pub(crate) fn state(core: &LimitsCore) -> Value {
    let now = core.now();
    let issuer = core.issuer.borrow();
    let cells: Vec<Value> = issuer
        .pools()
        .into_iter()
        .map(|key| {
            let shares = issuer.live_shares(key, now);
            json!({ "shard": key.shard, "half": key.half, "shares": shares.len() })
        })
        .collect();
    let holder = core.holder.borrow();
    let controller = core.controller.borrow();
    json!({
        "members": core.map.borrow().members().len(),
        "shares_leased": holder.held().iter().collect::<Vec<_>>(),
        "lease_left_secs": holder.earliest_expiry().map(|end| end.remaining(now).as_secs()),
        "shares_known": core.borrower.borrow().known_shares().len(),
        "cells": cells,
        "accounts_pooled": issuer.account_count(),
        "accounts_held": controller.account_count(),
        "waiting": controller.waiting_count(),
        "returns": controller.return_counts(),
        "admitted": core.admitted.get(),
        "refused": core.refused.get(),
    })
}
