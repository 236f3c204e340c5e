//! Catalog lookups: compact tables against a reference model, and paths that must match no route.

mod common;

use std::collections::BTreeMap;

use arbtest::arbtest;
use wagtailtrack::config::{
    Catalog, ChangeRefusal, ConfigAction, ConfigChange, ConfigFollower, FollowerRules, KeyLookup,
    validate_resource,
};
use wagtailtrack::ids::Revision;
use wagtailtrack::resource::{
    ClientAccount, ClientKey, ConfigResource, IdempotencyRule, KeyHash, RateLimit, RequestClass,
    RouteAccess, ServiceRoute,
};
use wagtailtrack::settings::PlatformSettings;
use wagtailtrack::time::MonoTime;
use wagtailtrack::units::{Burst, Rate};
use wagtailtrack::wire::SnapshotCursor;

const SEEDS: std::ops::Range<u64> = 0..100;

fn route(id: &str, prefix: &str) -> ServiceRoute {
    ServiceRoute {
        id: id.parse().unwrap(),
        prefix: prefix.to_owned(),
        service: "desk".parse().unwrap(),
        class: RequestClass::Lookup,
        access: RouteAccess::All,
        idempotency: IdempotencyRule::ByMethod,
        rules: wagtailtrack::resource::RouteRules::default(),
    }
}

fn catalog_of(prefixes: &[&str]) -> Catalog {
    let routes = prefixes
        .iter()
        .enumerate()
        .map(|(index, prefix)| ConfigResource::Route(route(&format!("r{index}"), prefix)));
    Catalog::from_resources(Revision(1), routes)
}

fn found<'a>(catalog: &'a Catalog, path: &str) -> Option<&'a str> {
    catalog
        .find_any_host_route(path)
        .map(|route| route.prefix.as_str())
}

/// The longest prefix in whole segments must win, or a request reaches the wrong service.
#[test]
fn longest_prefix() {
    let catalog = catalog_of(&["/", "/a", "/a/b", "/a/b/c/d"]);
    let cases = [
        ("/", "/"),
        ("/x", "/"),
        ("/ab", "/"),
        ("/a", "/a"),
        ("/a/", "/a"),
        ("/a?b/c", "/a"),
        ("/a/bc", "/a"),
        ("/a/b/c", "/a/b"),
        ("/a/b/c/d/e?x", "/a/b/c/d"),
    ];
    for (path, prefix) in cases {
        assert_eq!(found(&catalog, path), Some(prefix), "{path}");
    }
    assert_eq!(found(&catalog_of(&["/a"]), "/b"), None);
}

/// A backend server may normalize these paths to a path of another route, past its access rule.
#[test]
fn ambiguous_paths_match_no_route() {
    let catalog = catalog_of(&["/", "/open", "/closed"]);
    let ambiguous = [
        "",
        "open",
        "/open/../closed",
        "/open/%2e%2e/closed",
        "/open/.%2E/closed",
        "/open/./x",
        "//closed",
        "/open//x",
        "/open%2f..%2fclosed",
        "/open%5c..%5Cclosed",
        "/open\\..\\closed",
    ];
    for path in ambiguous {
        assert_eq!(found(&catalog, path), None, "{path}");
    }
    assert_eq!(found(&catalog, "/open/..x"), Some("/open"));
}

/// A route prefix that no path can match, or that is ambiguous, must be refused.
#[test]
fn invalid_prefixes_are_refused() {
    let long = format!("/{}", "x".repeat(300));
    for prefix in [
        "",
        "a",
        "/a/",
        "/a//b",
        "/a/../b",
        "/a b",
        "/a?b",
        "/\u{e9}",
        long.as_str(),
    ] {
        let refused = validate_resource(&ConfigResource::Route(route("r", prefix)));
        assert!(
            matches!(refused, Err(ChangeRefusal::InvalidField("prefix", ..))),
            "{prefix}: {refused:?}"
        );
    }
}

/// Reference model of the catalog's keys and rate limits.
#[derive(Default)]
struct ModelCatalog {
    keys: BTreeMap<u8, (u8, bool)>,
    rates: BTreeMap<u8, u64>,
}

impl ModelCatalog {
    /// Generates a random change and applies it to the model; none when it would be invalid.
    fn generate(
        &mut self,
        u: &mut arbtest::arbitrary::Unstructured<'_>,
    ) -> arbtest::arbitrary::Result<Option<ConfigAction>> {
        let number: u8 = u.int_in_range(0..=15)?;
        let account = || format!("account-{number}").parse().unwrap();
        let resource = match u.int_in_range(0..=5)? {
            0 => ConfigResource::Account(ClientAccount::new(account())),
            1 => {
                self.rates.insert(number, u64::from(number) + 1);
                ConfigResource::Rate(rate(number))
            }
            2 | 3 => {
                let (id, withdrawn): (u8, bool) = (u.int_in_range(0..=30)?, u.arbitrary()?);
                self.keys.insert(id, (number, withdrawn));
                ConfigResource::Key(key(id, number, withdrawn))
            }
            4 => {
                let Some((id, (owner, withdrawn))) = self.keys.pop_first() else {
                    return Ok(None);
                };
                return Ok(Some(ConfigAction::Remove(ConfigResource::Key(key(
                    id, owner, withdrawn,
                )))));
            }
            _ if self.keys.values().any(|(owner, _)| *owner == number) => return Ok(None),
            _ => {
                self.rates.remove(&number);
                let account = ClientAccount::new(account());
                return Ok(Some(ConfigAction::Remove(ConfigResource::Account(account))));
            }
        };
        Ok(Some(ConfigAction::Put(resource)))
    }

    fn check(&self, catalog: &Catalog) {
        for id in 0..=30 {
            let expected = match self.keys.get(&id) {
                Some((_, true)) => KeyLookup::Withdrawn,
                Some((owner, false)) => {
                    KeyLookup::Known(format!("account-{owner}").parse().unwrap())
                }
                None => KeyLookup::Unknown,
            };
            assert_eq!(catalog.lookup_key(&hash(id)), expected, "key {id}");
        }
        for number in 0..=15 {
            let account = format!("account-{number}").parse().unwrap();
            let expected = self.rates.get(&number).map(|_| rate(number));
            assert_eq!(catalog.rate_limit(&account), expected, "account {number}");
        }
    }
}

fn hash(id: u8) -> KeyHash {
    KeyHash::hash_secret(&id.to_string())
}

fn rate(number: u8) -> RateLimit {
    RateLimit {
        account: format!("account-{number}").parse().unwrap(),
        rate: Rate::per_second(u64::from(number) + 1).unwrap(),
        burst: Burst::new(3).unwrap(),
    }
}

fn key(id: u8, owner: u8, withdrawn: bool) -> ClientKey {
    ClientKey {
        id: format!("k{id}").parse().unwrap(),
        account: format!("account-{owner}").parse().unwrap(),
        hash: hash(id),
        withdrawn,
    }
}

/// Compaction of deleted account names must not corrupt the names of the remaining accounts.
#[test]
fn compaction_keeps_live_accounts() {
    let account = |number: u32| {
        ConfigResource::Account(ClientAccount::new(
            format!("account-with-a-long-name-{number:08}")
                .parse()
                .unwrap(),
        ))
    };
    let mut catalog = Catalog::from_resources(Revision(0), Some(ConfigResource::Rate(rate(7))));
    catalog.insert(ConfigResource::Key(key(1, 7, false)));
    for number in 0..10_000 {
        for action in [
            ConfigAction::Put(account(number)),
            ConfigAction::Remove(account(number)),
        ] {
            let change = ConfigChange {
                revision: catalog.revision().next(),
                operation: "op".parse().unwrap(),
                action,
            };
            catalog.apply(&change).unwrap();
        }
    }
    let known = KeyLookup::Known("account-7".parse().unwrap());
    assert_eq!(catalog.lookup_key(&hash(1)), known);
    assert_eq!(catalog.rate_limit(&rate(7).account), Some(rate(7)));
    assert_eq!(catalog.resource_counts()[0], 1);
}

/// Under random changes the catalog must agree with the model. A copy that is read page by page
/// while changes go on, and then catches up, must agree too.
#[test]
fn matches_reference_model() {
    let settings: PlatformSettings = toml::from_str("address = \"127.0.0.1:1\"").unwrap();
    for seed in SEEDS {
        arbtest(|u| {
            let rules = FollowerRules::from_settings(&settings);
            let mut follower = ConfigFollower::open(rules, 1, MonoTime::ZERO);
            follower.snapshot_read(Some(Catalog::default()));
            let mut model = ModelCatalog::default();
            let mut copy: Option<Catalog> = None;
            let mut next = None;
            for revision in 1..200 {
                let Some(action) = model.generate(u)? else {
                    continue;
                };
                let change = ConfigChange {
                    revision: follower.catalog().revision().next(),
                    operation: format!("op-{revision}").parse().unwrap(),
                    action,
                };
                follower.changes_pushed(std::slice::from_ref(&change));
                model.check(follower.catalog());
                if revision == 100 {
                    next = Some(SnapshotCursor::Services);
                }
                if let Some(part) = next.take() {
                    let page = follower.snapshot_page(part).unwrap();
                    let copy =
                        copy.get_or_insert_with(|| Catalog::from_resources(page.revision, None));
                    page.items
                        .into_iter()
                        .for_each(|item| copy.insert_item(item));
                    next = page.next;
                }
            }
            let mut copy = copy.unwrap_or_default();
            for change in follower.recent_changes().after(copy.revision(), usize::MAX) {
                copy.apply(&change).unwrap();
            }
            model.check(&copy);
            Ok(())
        })
        .seed(seed << 32 | 0x2000);
    }
}
