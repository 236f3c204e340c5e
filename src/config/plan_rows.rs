//! The table rows that a change is planned from, read in one consistent read.

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::config::{ChangeRequest, OperationRecord, ResourceEdit, RowLayout, StoredResource};
use crate::ids::{Revision, Version};
use crate::platform::{RowKey, TableRow};
use crate::resource::{ConfigResource, ResourceKind, ResourceName, RouteAccess};

/// The head row, which holds the newest committed revision.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct HeadRow {
    /// The newest committed revision.
    pub revision: Revision,
    /// Version of the row itself; 0 before the first change.
    pub row_version: Version,
}

impl HeadRow {
    /// Parses the head row; an absent row means revision 0.
    ///
    /// # Errors
    /// The row's key and the parse error, when the row is malformed.
    pub fn from_row(row: Option<&TableRow>) -> Result<Self, String> {
        Ok(Self {
            revision: parse_row(row)?.unwrap_or_default(),
            row_version: row.map_or(Version(0), |row| row.version),
        })
    }
}

/// The stored state that a change request is checked against.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlanRows {
    /// The head row.
    pub head: HeadRow,
    /// Record of the request's operation, if it was accepted before.
    pub operation: Option<OperationRecord>,
    /// Version of the resource's row; 0 when there is none.
    pub row_version: Version,
    /// The stored resource, if it exists.
    pub resource: Option<StoredResource>,
    /// References of the new resource to resources that do not exist, with the field that refers.
    pub missing_references: Vec<(&'static str, ResourceName)>,
}

impl PlanRows {
    /// Keys of the rows to read for `request`, in the order that `from_rows` expects.
    #[must_use]
    pub fn row_keys(request: &ChangeRequest) -> Vec<RowKey> {
        let mut keys = vec![
            RowLayout::head(),
            RowLayout::operation(&request.operation),
            RowLayout::resource(&request.name),
        ];
        let references = references(request);
        keys.extend(references.iter().map(|(_, name)| RowLayout::resource(name)));
        keys
    }

    /// Parses the rows that were read for `row_keys`.
    ///
    /// # Errors
    /// The key of the malformed row and the parse error, or that rows are missing.
    pub fn from_rows(request: &ChangeRequest, rows: &[Option<TableRow>]) -> Result<Self, String> {
        let [head, operation, resource, referenced @ ..] = rows else {
            return Err("the platform returned fewer rows than were requested".to_owned());
        };
        let missing_references = references(request)
            .into_iter()
            .zip(referenced)
            .filter(|(_, row)| row.is_none())
            .map(|(reference, _)| reference)
            .collect();
        Ok(Self {
            head: HeadRow::from_row(head.as_ref())?,
            operation: parse_row(operation.as_ref())?,
            row_version: resource.as_ref().map_or(Version(0), |row| row.version),
            resource: parse_row(resource.as_ref())?,
            missing_references,
        })
    }
}

/// Names that the resource of `request` refers to, each with its field.
fn references(request: &ChangeRequest) -> Vec<(&'static str, ResourceName)> {
    let ResourceEdit::Put(resource) = &request.edit else {
        return Vec::new();
    };
    let name_of = |kind, id: &str| ResourceName {
        kind,
        id: id.to_owned(),
    };
    let account = |id: &crate::ids::AccountId| name_of(ResourceKind::Account, id.as_str());
    match resource {
        ConfigResource::Account(_) | ConfigResource::Service(_) | ConfigResource::Evacuation(_) => {
            Vec::new()
        }
        ConfigResource::Key(key) => vec![("account", account(&key.account))],
        ConfigResource::Rate(rate) => vec![("account", account(&rate.account))],
        ConfigResource::Route(route) => {
            let service = name_of(ResourceKind::Service, route.service.as_str());
            let mut names = vec![("service", service)];
            if let RouteAccess::Accounts(accounts) = &route.access {
                names.extend(accounts.iter().map(|id| ("access", account(id))));
            }
            names
        }
    }
}

/// Parses a row's JSON value, if there is a row.
pub(super) fn parse_row<T: DeserializeOwned>(row: Option<&TableRow>) -> Result<Option<T>, String> {
    row.map(|row| {
        serde_json::from_slice(&row.value).map_err(|cause| format!("row {}: {cause}", row.key))
    })
    .transpose()
}

/// Serializes a row's value to JSON.
pub(super) fn row_value<T: Serialize>(value: &T) -> Vec<u8> {
    // Cannot fail: the stored types have no maps with non-string keys and no custom impl that fails.
    serde_json::to_vec(value).unwrap_or_default()
}
