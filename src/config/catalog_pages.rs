//! Splits a catalog into pages of a snapshot for a peer.

use crate::config::Catalog;
use crate::resource::{ClientAccount, ZoneEvacuation};
use crate::wire::{SnapshotCursor, SnapshotItem, SnapshotKey};

/// Route slots per page.
const ROUTES_PER_PAGE: u32 = 500;
/// Account slots per page.
const ACCOUNTS_PER_PAGE: u32 = 5_000;
/// Largest mean number of keys per page; the pages are partitions by hash.
const KEYS_PER_PAGE: usize = 8_000;

/// Returns the items of the page at `part`, and where the next page starts; none after the last.
///
/// A resource that does not change while the pages are read keeps its slot. A reader that then
/// applies the changes made since the first page therefore has the complete catalog.
pub(super) fn read(
    catalog: &Catalog,
    part: SnapshotCursor,
) -> (Vec<SnapshotItem>, Option<SnapshotCursor>) {
    match part {
        SnapshotCursor::Services => {
            let services = catalog.services().cloned().map(SnapshotItem::Service);
            let zones = catalog.evacuated_zones().iter().cloned();
            let evacuations = zones.map(|id| SnapshotItem::Evacuation(ZoneEvacuation { id }));
            let items = services.chain(evacuations).collect();
            (items, Some(SnapshotCursor::Routes(0)))
        }
        SnapshotCursor::Routes(start) => routes(catalog, start),
        SnapshotCursor::Accounts(start) => accounts(catalog, start),
        SnapshotCursor::Keys(index, partitions) => keys(catalog, index, partitions),
    }
}

fn routes(catalog: &Catalog, start: u32) -> (Vec<SnapshotItem>, Option<SnapshotCursor>) {
    let slots = catalog.route_table().slots(start, ROUTES_PER_PAGE as usize);
    let items = slots.iter().flatten().cloned().map(SnapshotItem::Route);
    let next = if slots.is_empty() {
        SnapshotCursor::Accounts(0)
    } else {
        SnapshotCursor::Routes(start + ROUTES_PER_PAGE)
    };
    (items.collect(), Some(next))
}

fn accounts(catalog: &Catalog, start: u32) -> (Vec<SnapshotItem>, Option<SnapshotCursor>) {
    let Some(found) = catalog.accounts().page(start, ACCOUNTS_PER_PAGE) else {
        let partitions = catalog.keys().len().div_ceil(KEYS_PER_PAGE).max(1);
        let partitions = u32::try_from(partitions).unwrap_or(u32::MAX);
        return (Vec::new(), Some(SnapshotCursor::Keys(0, partitions)));
    };
    let items = found.into_iter().map(|(id, rate)| {
        let known = catalog.account_settings(&id).cloned();
        SnapshotItem::Account(known.unwrap_or_else(|| ClientAccount::new(id)), rate)
    });
    let next = SnapshotCursor::Accounts(start.saturating_add(ACCOUNTS_PER_PAGE));
    (items.collect(), Some(next))
}

fn keys(
    catalog: &Catalog,
    index: u32,
    partitions: u32,
) -> (Vec<SnapshotItem>, Option<SnapshotCursor>) {
    let found = catalog.keys().in_partition(index, partitions);
    let items = found.filter_map(|(hash, account, withdrawn)| {
        let account = catalog.accounts().account(account)?;
        Some(SnapshotItem::Key(SnapshotKey {
            hash,
            account,
            withdrawn,
        }))
    });
    let next = index + 1;
    let next = (next < partitions).then_some(SnapshotCursor::Keys(next, partitions));
    (items.collect(), next)
}
