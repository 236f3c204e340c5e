//! Routes of a host, public routes and what a request must bring.

use wagtailtrack::config::Catalog;
use wagtailtrack::ids::{HostName, Revision};
use wagtailtrack::ingress::{RequestFacts, RequestPlan, RequestRefusal};
use wagtailtrack::resource::{
    ClassWeights, ClientAccount, ClientKey, ConfigResource, IdempotencyRule, KeyHash, Priority,
    RecoveryRule, RequestClass, RouteAccess, RouteRules, ServiceRoute, ServiceSpec,
};
use wagtailtrack::units::{Percent, Slots};

fn route(id: &str, host: Option<&str>, prefix: &str, access: RouteAccess) -> ConfigResource {
    ConfigResource::Route(ServiceRoute {
        id: id.parse().unwrap(),
        prefix: prefix.to_owned(),
        service: "desk".parse().unwrap(),
        class: RequestClass::Lookup,
        access,
        idempotency: IdempotencyRule::Always,
        rules: RouteRules {
            host: host.map(|host| host.parse().unwrap()),
            ..RouteRules::default()
        },
    })
}

fn catalog() -> Catalog {
    let service = ConfigResource::Service(ServiceSpec {
        id: "desk".parse().unwrap(),
        floor: Percent::FULL,
        slots: Slots::fixed(3),
        weights: ClassWeights::USUAL,
        retry_budget: Percent::NONE,
        recovery: RecoveryRule::Requests,
        check_slot: false,
    });
    let account = ConfigResource::Account(ClientAccount {
        id: "crew".parse().unwrap(),
        priority: Some(Priority(0)),
        unlimited: true,
    });
    let key = ConfigResource::Key(ClientKey {
        id: "crew-a".parse().unwrap(),
        account: "crew".parse().unwrap(),
        hash: KeyHash::of_secret("secret"),
        withdrawn: false,
    });
    let resources = [
        service,
        account,
        key,
        route("sites", Some("roads.example"), "/sites/", RouteAccess::All),
        route(
            "deep",
            Some("roads.example"),
            "/sites/deep/",
            RouteAccess::All,
        ),
        route(
            "checks",
            Some("roads.example"),
            "/checks/",
            RouteAccess::Public,
        ),
        route("any", None, "/sites", RouteAccess::All),
    ];
    Catalog::from_resources(Revision(1), resources)
}

fn found(host: Option<&str>, path: &str) -> Option<String> {
    let host: Option<HostName> = host.map(|host| host.parse().unwrap());
    let catalog = catalog();
    let route = catalog.find_route(host.as_ref(), path)?;
    Some(route.id.to_string())
}

/// The longest prefix of the host wins; one that ends with a slash covers only what lies below.
#[test]
fn longest_of_host() {
    let host = Some("roads.example");
    let cases = [
        ("/sites/17", Some("sites")),
        ("/sites/deep/17", Some("deep")),
        ("/sites/deep", Some("sites")),
        ("/sites/", Some("sites")),
        ("/sites", Some("any")),
        ("/other", None),
    ];
    for (path, expected) in cases {
        assert_eq!(found(host, path).as_deref(), expected, "{path}");
    }
    assert_eq!(
        found(Some("else.example"), "/sites/17").as_deref(),
        Some("any")
    );
    assert_eq!(found(None, "/sites/17").as_deref(), Some("any"));
}

fn planned(
    path: &str,
    key: Result<&str, RequestRefusal>,
    is_fresh: bool,
) -> Result<RequestPlan, RequestRefusal> {
    let host: HostName = "roads.example".parse().unwrap();
    let hash = key.map(KeyHash::of_secret);
    let facts = RequestFacts {
        host: Some(&host),
        path,
        method: "GET",
        key: hash.as_ref(),
        is_fresh,
    };
    RequestPlan::open(&catalog(), &facts, |route| route.service.clone())
}

/// A public route needs no key and no fresh configuration; the others need both.
#[test]
fn keys_and_freshness() {
    let no_key = || Err(RequestRefusal::NoKey);
    let public = planned("/checks/1", no_key(), false).unwrap();
    assert_eq!((public.holder, public.is_unlimited), (None, true));
    let own = planned("/sites/1", Ok("secret"), true).unwrap();
    assert_eq!(own.holder.unwrap().as_str(), "crew");
    assert_eq!(
        own.priority,
        Priority(0),
        "the account goes before the route"
    );
    let cases = [
        ("/sites/1", no_key(), true, RequestRefusal::NoKey),
        ("/sites/1", Ok("other"), true, RequestRefusal::UnknownKey),
        ("/nowhere", no_key(), true, RequestRefusal::NoRoute),
        // A configuration that may be old proves nothing about a key.
        (
            "/sites/1",
            Ok("secret"),
            false,
            RequestRefusal::NotConfigured,
        ),
        (
            "/sites/1",
            Ok("other"),
            false,
            RequestRefusal::NotConfigured,
        ),
    ];
    for (path, key, is_fresh, expected) in cases {
        assert_eq!(planned(path, key, is_fresh), Err(expected), "{path}");
    }
}
