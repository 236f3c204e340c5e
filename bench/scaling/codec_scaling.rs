//! Scaling benchmark of encoding a request that one daemon offers to another.

use std::hint::black_box;

use wagtailtrack::ids::{BootId, RequestId};
use wagtailtrack::peers::FleetKey;
use wagtailtrack::resource::RequestClass;
use wagtailtrack::wire::{RequestOffer, decode, encode};

use crate::scaling::scaling_figure::{ScalingFigure, micros_each};

const RUNS: usize = 5_000;

/// Measures the encoded length and the times to encode, decode and authenticate an offer with a
/// body of `size` bytes.
pub fn measure(size: usize) -> Vec<ScalingFigure> {
    let offer = offer(size);
    let key = FleetKey::open("a secret of the slopes");
    let bytes = encode(&offer).unwrap_or_default();
    let encoding = micros_each(RUNS, |_| {
        black_box(encode(&offer).is_ok());
    });
    let decoding = micros_each(RUNS, |_| {
        black_box(decode::<RequestOffer>(&bytes).is_ok());
    });
    let mac = micros_each(RUNS, |_| {
        black_box(key.mac(&[&bytes]));
    });
    vec![
        ScalingFigure::new("bytes", bytes.len() as f64),
        ScalingFigure::new("us to encode", encoding),
        ScalingFigure::new("us to decode", decoding),
        ScalingFigure::new("us for the code", mac),
    ]
}

#[expect(clippy::unwrap_used, reason = "the names are well formed")]
fn offer(body: usize) -> RequestOffer {
    let headers = [("x-tag", "1-2345"), ("accept", "application/json")];
    RequestOffer {
        boot: BootId(u64::MAX / 3),
        request: RequestId(1_000_000),
        instance: "desk-0001-01".parse().unwrap(),
        service: "permit-desk".parse().unwrap(),
        route: "lookups".parse().unwrap(),
        account: "account-1".parse().unwrap(),
        client_account: None,
        caller: None,
        digest: None,
        request_name: "7-9".to_owned(),
        host: None,
        priority: wagtailtrack::resource::Priority::default(),
        is_forced: false,
        class: RequestClass::Lookup,
        idempotent: true,
        may_wait: true,
        max_wait_micros: u64::MAX,
        remaining_micros: 1_000_000,
        goal_micros: None,
        account_weight: 1,
        method: "GET".to_owned(),
        target: "/lookups?road=a1&from=12".to_owned(),
        headers: headers
            .map(|(name, value)| (name.to_owned(), value.as_bytes().to_vec()))
            .to_vec(),
        body: vec![7; body],
    }
}
