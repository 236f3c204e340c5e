//! Reads the configuration's rows from the platform's table.

use std::rc::Rc;

use crate::config::plan_rows::parse_row;
use crate::config::{Catalog, ConfigChange, HeadRow, OperationRecord, RowLayout, StoredResource};
use crate::ids::{OperationId, Revision};
use crate::platform::{PlatformError, PlatformService, RowKey};
use crate::resource::{ResourceKind, ResourceName};

/// Maximum number of rows per read.
pub const PAGE_ROWS: usize = 500;

/// Reader of the configuration's rows at the platform; clones share the service.
#[derive(Clone)]
pub struct ConfigStore {
    platform: Rc<dyn PlatformService>,
}

impl ConfigStore {
    /// Creates a reader on top of `platform`.
    #[must_use]
    pub fn open(platform: Rc<dyn PlatformService>) -> Self {
        Self { platform }
    }

    /// The platform's table service.
    #[must_use]
    pub fn platform(&self) -> &dyn PlatformService {
        self.platform.as_ref()
    }

    /// Reads the newest committed revision.
    ///
    /// # Errors
    /// `PlatformError` when the row cannot be read or is malformed.
    pub async fn head(&self) -> Result<Revision, PlatformError> {
        let rows = self.platform.read(&[RowLayout::head()]).await?;
        let row = rows.first().and_then(Option::as_ref);
        Ok(HeadRow::from_row(row).map_err(malformed)?.revision)
    }

    /// Reads the changes after `after`, up to and including `until`, but at most `PAGE_ROWS`. The
    /// result ends early at a revision that the log does not hold.
    ///
    /// # Errors
    /// `PlatformError` when the rows cannot be read or one is malformed.
    pub async fn changes(
        &self,
        after: Revision,
        until: Revision,
    ) -> Result<Vec<ConfigChange>, PlatformError> {
        let page_end = after.0.saturating_add(PAGE_ROWS as u64);
        let last = until.0.min(page_end);
        let keys: Vec<RowKey> = (after.0 + 1..=last)
            .map(|revision| RowLayout::log(Revision(revision)))
            .collect();
        let rows = self.platform.read(&keys).await?;
        rows.iter()
            .map_while(Option::as_ref)
            .map(|row| parse_row(Some(row)).map_err(malformed))
            .filter_map(Result::transpose)
            .collect()
    }

    /// Reads the whole configuration page by page, then applies the changes made meanwhile.
    ///
    /// # Errors
    /// `PlatformError` when a page cannot be read, or the log lacks a change made meanwhile.
    pub async fn read_catalog(&self) -> Result<Catalog, PlatformError> {
        let before = self.head().await?;
        let mut catalog = Catalog::from_resources(before, None);
        let mut after = None;
        loop {
            let page = self
                .platform
                .scan(RowLayout::RESOURCES, after.as_ref(), PAGE_ROWS);
            let rows = page.await?;
            for row in &rows {
                if let Some(stored) = parse_row::<StoredResource>(Some(row)).map_err(malformed)? {
                    catalog.insert(stored.resource);
                }
            }
            match rows.last() {
                Some(row) if rows.len() == PAGE_ROWS => after = Some(row.key.clone()),
                _ => break,
            }
        }
        self.replay(&mut catalog).await?;
        Ok(catalog)
    }

    /// Applies the changes made since the scan began. Until then the catalog mixes resources of
    /// several revisions.
    async fn replay(&self, catalog: &mut Catalog) -> Result<(), PlatformError> {
        let head = self.head().await?;
        while catalog.revision() < head {
            let changes = self.changes(catalog.revision(), head).await?;
            if changes.is_empty() {
                return Err(malformed(
                    "the change log has no entry for the next revision".to_owned(),
                ));
            }
            for change in &changes {
                catalog
                    .apply(change)
                    .map_err(|cause| malformed(cause.to_string()))?;
            }
        }
        Ok(())
    }

    /// Reads one resource; none when it does not exist.
    ///
    /// # Errors
    /// `PlatformError` when the row cannot be read or is malformed.
    pub async fn resource(
        &self,
        name: &ResourceName,
    ) -> Result<Option<StoredResource>, PlatformError> {
        let rows = self.platform.read(&[RowLayout::resource(name)]).await?;
        parse_row(rows.first().and_then(Option::as_ref)).map_err(malformed)
    }

    /// Reads up to `PAGE_ROWS` resources of `kind` whose id sorts after `after`, in the order of ids.
    ///
    /// # Errors
    /// `PlatformError` when the rows cannot be read or one is malformed.
    pub async fn list(
        &self,
        kind: ResourceKind,
        after: Option<&str>,
    ) -> Result<Vec<StoredResource>, PlatformError> {
        let prefix = RowLayout::kind_prefix(kind);
        let after = after.map(|id| RowKey(format!("{prefix}{id}")));
        let rows = self.platform.scan(&prefix, after.as_ref(), PAGE_ROWS);
        rows.await?
            .iter()
            .map(|row| parse_row(Some(row)).map_err(malformed))
            .filter_map(Result::transpose)
            .collect()
    }

    /// Reads the record of an accepted operation; none when there is none.
    ///
    /// # Errors
    /// `PlatformError` when the row cannot be read or is malformed.
    pub async fn operation(
        &self,
        operation: &OperationId,
    ) -> Result<Option<OperationRecord>, PlatformError> {
        let rows = self
            .platform
            .read(&[RowLayout::operation(operation)])
            .await?;
        parse_row(rows.first().and_then(Option::as_ref)).map_err(malformed)
    }
}

fn malformed(cause: String) -> PlatformError {
    log::error!(target: crate::logs::log_target::CONFIG, cause:%; "Configuration data at the platform is malformed.");
    PlatformError::Unavailable(cause)
}
