//! A table with transactions and an object store, in memory.

use std::collections::BTreeMap;
use std::ops::Bound;

use wagtailtrack::ids::Version;
use wagtailtrack::platform::{CommitOutcome, RowKey, TableRow, Transaction};

/// Everything that the stand-in keeps.
#[derive(Default)]
pub struct PlatformTable {
    rows: BTreeMap<RowKey, (Version, Vec<u8>)>,
    objects: BTreeMap<String, Vec<u8>>,
}

impl PlatformTable {
    /// Reads the rows of `keys` in their order.
    pub fn read(&self, keys: &[RowKey]) -> Vec<Option<TableRow>> {
        keys.iter().map(|key| self.row(key)).collect()
    }

    /// Reads up to `limit` rows below `prefix` that come after `after`.
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

    /// Carries out `transaction` wholly or not at all.
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

    /// Reads an object.
    pub fn object(&self, name: &str) -> Option<Vec<u8>> {
        self.objects.get(name).cloned()
    }

    /// Writes an object whole.
    pub fn put_object(&mut self, name: &str, bytes: Vec<u8>) {
        self.objects.insert(name.to_owned(), bytes);
    }

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
