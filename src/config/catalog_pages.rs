//! Cuts a catalog into the parts of a snapshot.

use crate::config::Catalog;
use crate::resource::ClientAccount;
use crate::wire::{SnapshotItem, SnapshotKey, SnapshotPart};

/// Places of routes in one part.
const ROUTES_A_PAGE: u32 = 500;
/// Numbers of accounts in one part.
const ACCOUNTS_A_PAGE: u32 = 5_000;
/// Keys in one part, roughly.
const KEYS_A_PAGE: usize = 8_000;

/// The items of `part` and the part that follows.
///
/// What did not change since the first part was read keeps its place, so a reader that
/// applies the changes made since then has everything.
pub(super) fn read(
    catalog: &Catalog,
    part: SnapshotPart,
) -> (Vec<SnapshotItem>, Option<SnapshotPart>) {
    match part {
        SnapshotPart::Services => {
            let items = catalog.services().cloned().map(SnapshotItem::Service);
            (items.collect(), Some(SnapshotPart::Routes(0)))
        }
        SnapshotPart::Routes(start) => routes(catalog, start),
        SnapshotPart::Accounts(start) => accounts(catalog, start),
        SnapshotPart::Keys(index, ranges) => keys(catalog, index, ranges),
    }
}

fn routes(catalog: &Catalog, start: u32) -> (Vec<SnapshotItem>, Option<SnapshotPart>) {
    let places = catalog.route_table().slots(start, ROUTES_A_PAGE as usize);
    let items = places.iter().flatten().cloned().map(SnapshotItem::Route);
    let next = if places.is_empty() {
        SnapshotPart::Accounts(0)
    } else {
        SnapshotPart::Routes(start + ROUTES_A_PAGE)
    };
    (items.collect(), Some(next))
}

fn accounts(catalog: &Catalog, start: u32) -> (Vec<SnapshotItem>, Option<SnapshotPart>) {
    let Some(found) = catalog.accounts().page(start, ACCOUNTS_A_PAGE) else {
        let ranges = catalog.keys().len().div_ceil(KEYS_A_PAGE).max(1);
        let ranges = u32::try_from(ranges).unwrap_or(u32::MAX);
        return (Vec::new(), Some(SnapshotPart::Keys(0, ranges)));
    };
    let items = found.into_iter().map(|(id, rate)| {
        let known = catalog.account(&id).cloned();
        SnapshotItem::Account(known.unwrap_or_else(|| ClientAccount::named(id)), rate)
    });
    let next = SnapshotPart::Accounts(start.saturating_add(ACCOUNTS_A_PAGE));
    (items.collect(), Some(next))
}

fn keys(catalog: &Catalog, index: u32, ranges: u32) -> (Vec<SnapshotItem>, Option<SnapshotPart>) {
    let found = catalog.keys().in_partition(index, ranges);
    let items = found.filter_map(|(hash, number, withdrawn)| {
        let account = catalog.accounts().account(number)?;
        Some(SnapshotItem::Key(SnapshotKey {
            hash,
            account,
            withdrawn,
        }))
    });
    let next = index + 1;
    let next = (next < ranges).then_some(SnapshotPart::Keys(next, ranges));
    (items.collect(), next)
}
