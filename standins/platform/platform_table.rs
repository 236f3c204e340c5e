//! In-memory table with transactions, and in-memory object store.

use std::collections::BTreeMap;
use std::ops::Bound;

use wagtailtrack::ids::Version;
use wagtailtrack::platform::{CommitOutcome, RowKey, TableRow, Transaction};

/// Versioned rows and named objects.
#[derive(Default)]
pub struct PlatformTable {
    rows: BTreeMap<RowKey, (Version, Vec<u8>)>,
    objects: BTreeMap<String, Vec<u8>>,
}

impl PlatformTable {
    /// Reads one row per key, in the order of `keys`; `None` for a row that does not exist.
    pub fn read(&self, keys: &[RowKey]) -> Vec<Option<TableRow>> {
        keys.iter().map(|key| self.row(key)).collect()
    }

    /// Reads up to `limit` rows whose keys start with `prefix` and follow `after`, in key order.
    pub fn scan(&self, prefix: &str, after: Option<&RowKey>, limit: usize) -> Vec<TableRow> {
        let first = RowKey(prefix.to_owned());
        let start = match after {
            Some(key) if *key >= first => Bound::Excluded(key.clone()),
            _ => Bound::Included(first),
        };
        self.rows
            .range((start, Bound::Unbounded))
            .take_while(|(key, _)| key.0.starts_with(prefix))
            .take(limit)
            .map(|(key, (version, value))| table_row(key, *version, value))
            .collect()
    }

    /// Applies all writes of `transaction`, or none if a checked row has another version.
    pub fn commit(&mut self, transaction: &Transaction) -> CommitOutcome {
        for check in &transaction.checks {
            if self.version(&check.key) != check.version {
                return CommitOutcome::Conflict(check.key.clone());
            }
        }
        for write in &transaction.writes {
            match &write.value {
                Some(value) => {
                    let version = self.version(&write.key).next();
                    self.rows
                        .insert(write.key.clone(), (version, value.clone()));
                }
                None => {
                    self.rows.remove(&write.key);
                }
            }
        }
        CommitOutcome::Committed
    }

    /// Reads an object; `None` if it does not exist.
    pub fn get_object(&self, name: &str) -> Option<Vec<u8>> {
        self.objects.get(name).cloned()
    }

    /// Creates or replaces an object.
    pub fn put_object(&mut self, name: &str, bytes: Vec<u8>) {
        self.objects.insert(name.to_owned(), bytes);
    }

    /// The version of a row; 0 if it does not exist.
    fn version(&self, key: &RowKey) -> Version {
        self.rows
            .get(key)
            .map_or(Version(0), |(version, _)| *version)
    }

    fn row(&self, key: &RowKey) -> Option<TableRow> {
        let (version, value) = self.rows.get(key)?;
        Some(table_row(key, *version, value))
    }
}

fn table_row(key: &RowKey, version: Version, value: &[u8]) -> TableRow {
    TableRow {
        key: key.clone(),
        version,
        value: value.to_vec(),
    }
}
