//! Prints the memory and the look-up time of a catalog of so many client accounts, each with a key and a rate.
//!
//! `cargo run --release --example catalog_size -- 10000 100 10` for accounts, routes and services.

use std::time::Instant;

use wagtailtrack::config::Catalog;
use wagtailtrack::ids::Revision;
use wagtailtrack::resource::{
    ClassWeights, ClientAccount, ClientKey, ConfigResource, IdempotencyRule, KeyHash, RateLimit,
    RequestClass, RouteAccess, ServiceRoute, ServiceSpec,
};
use wagtailtrack::units::{Burst, Percent, Rate, Slots, Weight};

const PAGE_BYTES: u64 = 4_096;
const LOOKUPS: u64 = 1_000_000;

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let counts: Vec<u64> = std::env::args()
        .skip(1)
        .map(|text| text.parse())
        .collect::<Result<_, _>>()?;
    let [accounts, routes, services] = counts[..] else {
        return Err("name the numbers of accounts, routes and services".into());
    };
    let before = resident_bytes()?;
    let started = Instant::now();
    let catalog = build(accounts, routes, services)?;
    let loaded = started.elapsed();
    let bytes = resident_bytes()?.saturating_sub(before);
    println!(
        "{accounts} accounts, {routes} routes, {services} services: {bytes} bytes, loaded in {loaded:?}"
    );
    if let Some(each) = bytes.checked_div(accounts) {
        println!("{each} bytes an account");
        time_keys(&catalog, accounts);
    }
    if let Some(each) = bytes.checked_div(routes) {
        println!("{each} bytes a route");
        time_routes(&catalog, routes);
    }
    Ok(())
}

fn build(accounts: u64, routes: u64, services: u64) -> Result<Catalog, Box<dyn std::error::Error>> {
    let mut catalog = Catalog::from_resources(Revision(1), None);
    let weight = Weight::new(10)?;
    for number in 0..services {
        catalog.insert(ConfigResource::Service(ServiceSpec {
            id: format!("service-{number}").parse()?,
            floor: Percent::new(60)?,
            slots: Slots::new(3)?,
            weights: ClassWeights {
                lookup: weight,
                filing: weight,
                extract: weight,
                internal_check: weight,
            },
            retry_budget: Percent::new(10)?,
            recovery: wagtailtrack::resource::RecoveryRule::default(),
            reserves_check_slot: true,
            cold_rate: None,
            health_path: None,
            order: wagtailtrack::resource::QueueOrder::Classes,
        }));
    }
    for number in 0..routes {
        catalog.insert(ConfigResource::Route(ServiceRoute {
            id: format!("route-{number}").parse()?,
            prefix: format!("/area-{}/part-{number}", number % 100),
            service: format!("service-{}", number % services.max(1)).parse()?,
            class: RequestClass::Lookup,
            access: RouteAccess::All,
            idempotency: IdempotencyRule::ByMethod,
            rules: wagtailtrack::resource::RouteRules::default(),
        }));
    }
    for number in 0..accounts {
        load_account(&mut catalog, number)?;
    }
    Ok(catalog)
}

fn load_account(catalog: &mut Catalog, number: u64) -> Result<(), Box<dyn std::error::Error>> {
    let id: wagtailtrack::ids::AccountId = format!("account-{number:08}").parse()?;
    catalog.insert(ConfigResource::Account(ClientAccount::new(id.clone())));
    catalog.insert(ConfigResource::Key(ClientKey {
        id: format!("key-{number:08}").parse()?,
        account: id.clone(),
        hash: KeyHash::hash_secret(&number.to_string()),
        withdrawn: false,
    }));
    catalog.insert(ConfigResource::Rate(RateLimit {
        account: id,
        rate: Rate::per_second(10)?,
        burst: Burst::new(20)?,
    }));
    Ok(())
}

fn time_keys(catalog: &Catalog, accounts: u64) {
    let hashes: Vec<KeyHash> = (0..1_000)
        .map(|number| KeyHash::hash_secret(&(number * 7_919 % accounts).to_string()))
        .collect();
    let started = Instant::now();
    for number in 0..LOOKUPS {
        let hash = &hashes[number as usize % hashes.len()];
        std::hint::black_box(catalog.lookup_key(hash));
    }
    println!("{:?} a key", started.elapsed() / LOOKUPS as u32);
}

fn time_routes(catalog: &Catalog, routes: u64) {
    let paths: Vec<String> = (0..1_000)
        .map(|number| {
            let route = number * 7_919 % routes;
            format!("/area-{}/part-{route}/deep/er?x=1", route % 100)
        })
        .collect();
    let started = Instant::now();
    for number in 0..LOOKUPS {
        let path = &paths[number as usize % paths.len()];
        std::hint::black_box(catalog.find_any_host_route(path));
    }
    println!("{:?} a route", started.elapsed() / LOOKUPS as u32);
}

fn resident_bytes() -> Result<u64, Box<dyn std::error::Error>> {
    let text = std::fs::read_to_string("/proc/self/statm")?;
    let pages = text.split(' ').nth(1).ok_or("statm has too few fields")?;
    Ok(pages.parse::<u64>()? * PAGE_BYTES)
}
