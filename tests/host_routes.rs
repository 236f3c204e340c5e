//! Tests of routing by host and path prefix, public routes, and the key checks of `RequestPlan`.

use wagtailtrack::config::Catalog;
use wagtailtrack::ids::{HostName, Revision};
use wagtailtrack::ingress::{RequestFacts, RequestPlan, RequestRefusal};
use wagtailtrack::resource::{
    ClassWeights, ClientAccount, ClientKey, ConfigResource, IdempotencyRule, KeyHash, Priority,
    QueueOrder, RecoveryRule, RequestClass, RouteAccess, RouteRules, ServiceRoute, ServiceSpec,
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
        weights: ClassWeights::DEFAULT,
        retry_budget: Percent::ZERO,
        recovery: RecoveryRule::Requests,
        reserves_check_slot: false,
        cold_rate: None,
        health_path: None,
        order: QueueOrder::Classes,
    });
    let account = ConfigResource::Account(ClientAccount {
        id: "crew".parse().unwrap(),
        priority: Some(Priority(0)),
        unlimited: true,
    });
    let key = ConfigResource::Key(ClientKey {
        id: "crew-a".parse().unwrap(),
        account: "crew".parse().unwrap(),
        hash: KeyHash::hash_secret("secret"),
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

fn matched_route(host: Option<&str>, path: &str) -> Option<String> {
    let host: Option<HostName> = host.map(|host| host.parse().unwrap());
    let catalog = catalog();
    let route = catalog.find_route(host.as_ref(), path)?;
    Some(route.id.to_string())
}

/// Guards against a request that takes the wrong route. The longest matching prefix of the host wins
/// over a shorter one, and over a route without a host. A prefix that ends with a slash matches only
/// paths below it.
#[test]
fn longest_prefix_of_host() {
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
        assert_eq!(matched_route(host, path).as_deref(), expected, "{path}");
    }
    assert_eq!(
        matched_route(Some("else.example"), "/sites/17").as_deref(),
        Some("any")
    );
    assert_eq!(matched_route(None, "/sites/17").as_deref(), Some("any"));
}

fn plan_request(
    path: &str,
    key: Result<&str, RequestRefusal>,
    is_fresh: bool,
) -> Result<RequestPlan, RequestRefusal> {
    let host: HostName = "roads.example".parse().unwrap();
    let hash = key.map(KeyHash::hash_secret);
    let facts = RequestFacts {
        host: Some(&host),
        path,
        method: "GET",
        key: hash.as_ref(),
        is_fresh,
    };
    RequestPlan::open(&catalog(), &facts, |route| route.service.clone())
}

/// Guards against a request that is admitted by an outdated configuration or refused on a public
/// route. A public route needs neither a key nor a current configuration; all others need both.
#[test]
fn keys_need_current_catalog() {
    let no_key = || Err(RequestRefusal::NoKey);
    let public = plan_request("/checks/1", no_key(), false).unwrap();
    assert_eq!((public.key_account, public.is_unlimited), (None, true));
    let keyed = plan_request("/sites/1", Ok("secret"), true).unwrap();
    assert_eq!(keyed.key_account.unwrap().as_str(), "crew");
    assert_eq!(
        keyed.priority,
        Priority(0),
        "the account's priority overrides the route's"
    );
    let cases = [
        ("/sites/1", no_key(), true, RequestRefusal::NoKey),
        ("/sites/1", Ok("other"), true, RequestRefusal::UnknownKey),
        ("/nowhere", no_key(), true, RequestRefusal::NoRoute),
        // An outdated configuration cannot tell whether a key is valid.
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
        assert_eq!(plan_request(path, key, is_fresh), Err(expected), "{path}");
    }
}
