//! The rows that a change is planned from, read in one consistent state.

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::config::{ChangeRequest, OperationRecord, ResourceEdit, RowLayout, StoredResource};
use crate::ids::{Revision, Version};
use crate::platform::{RowKey, TableRow};
use crate::resource::{ConfigResource, ResourceKind, ResourceName, RouteAccess};

/// The head as it was read.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct HeadRow {
    /// The newest revision.
    pub revision: Revision,
    /// The version of the row itself; 0 before the first change.
    pub row_version: Version,
}

impl HeadRow {
    /// Reads the head from its row; an absent row stands for revision 0.
    ///
    /// # Errors
    /// A text that says what is malformed.
    pub fn from_row(row: Option<&TableRow>) -> Result<Self, String> {
        Ok(Self {
            revision: parse_row(row)?.unwrap_or_default(),
            row_version: row.map_or(Version(0), |row| row.version),
        })
    }
}

/// What stands in the table about a change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlanRows {
    /// The head.
    pub head: HeadRow,
    /// The operation, if it was accepted before.
    pub operation: Option<OperationRecord>,
    /// The version of the resource's row.
    pub row_version: Version,
    /// The resource.
    pub resource: Option<StoredResource>,
    /// Those of the resource's references that do not exist, by field.
    pub missing: Vec<(&'static str, ResourceName)>,
}

impl PlanRows {
    /// The rows to read for `request`, in the order that `from_rows` expects.
    #[must_use]
    pub fn keys(request: &ChangeRequest) -> Vec<RowKey> {
        let mut keys = vec![
            RowLayout::head(),
            RowLayout::operation(&request.operation),
            RowLayout::resource(&request.name),
        ];
        let references = references(request);
        keys.extend(references.iter().map(|(_, name)| RowLayout::resource(name)));
        keys
    }

    /// Reads the rows of `keys`.
    ///
    /// # Errors
    /// A text that says which row is malformed.
    pub fn from_rows(request: &ChangeRequest, rows: &[Option<TableRow>]) -> Result<Self, String> {
        let [head, operation, resource, referred @ ..] = rows else {
            return Err("the platform sent too few rows".to_owned());
        };
        let missing = references(request)
            .into_iter()
            .zip(referred)
            .filter(|(_, row)| row.is_none())
            .map(|(reference, _)| reference)
            .collect();
        Ok(Self {
            head: HeadRow::from_row(head.as_ref())?,
            operation: parse_row(operation.as_ref())?,
            row_version: resource.as_ref().map_or(Version(0), |row| row.version),
            resource: parse_row(resource.as_ref())?,
            missing,
        })
    }
}

/// What the resource of `request` refers to, by field.
fn references(request: &ChangeRequest) -> Vec<(&'static str, ResourceName)> {
    let ResourceEdit::Put(resource) = &request.edit else {
        return Vec::new();
    };
    let named = |kind, id: &str| ResourceName {
        kind,
        id: id.to_owned(),
    };
    let account = |id: &crate::ids::AccountId| named(ResourceKind::Account, id.as_str());
    match resource {
        ConfigResource::Account(_) | ConfigResource::Service(_) => Vec::new(),
        ConfigResource::Key(key) => vec![("account", account(&key.account))],
        ConfigResource::Rate(rate) => vec![("account", account(&rate.account))],
        ConfigResource::Route(route) => {
            let service = named(ResourceKind::Service, route.service.as_str());
            let mut names = vec![("service", service)];
            if let RouteAccess::Accounts(accounts) = &route.access {
                names.extend(accounts.iter().map(|id| ("access", account(id))));
            }
            names
        }
    }
}

/// Reads a row's JSON, if there is a row.
pub(super) fn parse_row<T: DeserializeOwned>(row: Option<&TableRow>) -> Result<Option<T>, String> {
    row.map(|row| {
        serde_json::from_slice(&row.value).map_err(|cause| format!("row {}: {cause}", row.key))
    })
    .transpose()
}

/// Writes a row's JSON.
pub(super) fn row_value<T: Serialize>(value: &T) -> Vec<u8> {
    // The configuration's types always serialize: no maps with odd keys, no failing impls.
    serde_json::to_vec(value).unwrap_or_default()
}
