//! Scaling benchmark of the configuration catalog.

use std::hint::black_box;

use wagtailtrack::config::{Catalog, ConfigAction, ConfigChange};
use wagtailtrack::ids::Revision;
use wagtailtrack::resource::{
    ClientAccount, ClientKey, ConfigResource, IdempotencyRule, KeyHash, RateLimit, RequestClass,
    RouteAccess, ServiceRoute,
};
use wagtailtrack::units::{Burst, Rate};
use wagtailtrack::wire::encode;

use crate::scaling::scaling_figure::{ScalingFigure, micros_each, resident_bytes};

/// Client accounts per route in the largest fleet that the design supports.
const ACCOUNTS_PER_ROUTE: usize = 13;
const LOOKUPS: usize = 100_000;
const OPERATION: &str = "op-0123456789abcdef01234567";
const CHANGES: usize = 1_000;

/// Measures memory, lookup and update times of a catalog of `size` accounts, each with a key and a
/// rate.
pub fn measure(size: usize) -> Vec<ScalingFigure> {
    let before = resident_bytes();
    let mut catalog = Catalog::from_resources(Revision(1), (0..size).flat_map(resources));
    let bytes = resident_bytes() - before;
    let mut rng = fastrand::Rng::with_seed(1);
    let key = micros_each(LOOKUPS, |_| {
        let hash = KeyHash::hash_secret(&secret(rng.usize(..size)));
        black_box(catalog.lookup_key(&hash));
    });
    let route = micros_each(LOOKUPS, |_| {
        let route = rng.usize(..size.div_ceil(ACCOUNTS_PER_ROUTE));
        black_box(
            catalog
                .find_any_host_route(&format!("/svc-{route}/lookups/a1"))
                .is_some(),
        );
    });
    let rate = micros_each(LOOKUPS, |_| {
        black_box(catalog.rate_limit(&name(rng.usize(..size))).is_some());
    });
    let change = micros_each(CHANGES, |index| {
        let change = change(index, catalog.revision().next());
        black_box(catalog.apply(&change).is_ok());
    });
    let wire = encode(&key_resource(0)).map_or(0, |bytes| bytes.len());
    vec![
        ScalingFigure::new("MiB", bytes / (1024.0 * 1024.0)),
        ScalingFigure::new("bytes an account", bytes / size as f64),
        ScalingFigure::new("us to hash and find a key", key),
        ScalingFigure::new("us to find a route", route),
        ScalingFigure::new("us to find a rate", rate),
        ScalingFigure::new("us to apply a change", change),
        ScalingFigure::new("bytes of a key on the wire", wire as f64),
    ]
}

fn resources(index: usize) -> Vec<ConfigResource> {
    let mut resources = vec![
        ConfigResource::Account(ClientAccount::new(name(index))),
        key_resource(index),
        limit(index),
    ];
    if index.is_multiple_of(ACCOUNTS_PER_ROUTE) {
        resources.push(route(index / ACCOUNTS_PER_ROUTE));
    }
    resources
}

#[expect(clippy::unwrap_used, reason = "the name is well formed")]
fn change(index: usize, revision: Revision) -> ConfigChange {
    ConfigChange {
        revision,
        operation: OPERATION.parse().unwrap(),
        action: ConfigAction::Put(limit(index)),
    }
}

#[expect(clippy::unwrap_used, reason = "the name is well formed")]
fn name(index: usize) -> wagtailtrack::ids::AccountId {
    format!("contractor-{index:06}").parse().unwrap()
}

fn secret(index: usize) -> String {
    format!("wtk_0123456789abcdef0123456789-{index:06}")
}

#[expect(clippy::unwrap_used, reason = "the name is well formed")]
fn key_resource(index: usize) -> ConfigResource {
    ConfigResource::Key(ClientKey {
        id: format!("key-{index:06}").parse().unwrap(),
        account: name(index),
        hash: KeyHash::hash_secret(&secret(index)),
        withdrawn: false,
    })
}

#[expect(clippy::unwrap_used, reason = "the figures are in range")]
fn limit(index: usize) -> ConfigResource {
    ConfigResource::Rate(RateLimit {
        account: name(index),
        rate: Rate::per_second(5).unwrap(),
        burst: Burst::new(20).unwrap(),
    })
}

#[expect(clippy::unwrap_used, reason = "the names are well formed")]
fn route(index: usize) -> ConfigResource {
    ConfigResource::Route(ServiceRoute {
        id: format!("route-{index:05}").parse().unwrap(),
        prefix: format!("/svc-{index}/lookups"),
        service: format!("service-{:04}", index / 12).parse().unwrap(),
        class: RequestClass::Lookup,
        access: RouteAccess::All,
        idempotency: IdempotencyRule::ByMethod,
        rules: wagtailtrack::resource::RouteRules::default(),
    })
}
