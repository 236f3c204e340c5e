//! An offer to change in the fields that a test is about.

use wagtailtrack::ids::{BootId, RequestId};
use wagtailtrack::resource::{Priority, RequestClass};
use wagtailtrack::wire::RequestOffer;

/// A filing without a body for the instance `desk-1`, which may wait.
pub fn sample_offer() -> RequestOffer {
    RequestOffer {
        boot: BootId(7),
        request: RequestId(9),
        instance: "desk-1".parse().unwrap(),
        service: "desk".parse().unwrap(),
        route: "filings".parse().unwrap(),
        account: "crew".parse().unwrap(),
        client_account: None,
        caller: None,
        digest: None,
        request_name: "7-9".to_owned(),
        host: None,
        priority: Priority::default(),
        is_forced: false,
        class: RequestClass::Filing,
        idempotent: false,
        may_wait: true,
        max_wait_micros: u64::MAX,
        remaining_micros: 0,
        goal_micros: None,
        account_weight: 1,
        method: "POST".to_owned(),
        target: "/filings".to_owned(),
        headers: Vec::new(),
        body: Vec::new(),
    }
}
