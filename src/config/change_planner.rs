//! Validates a change request and plans the transaction that commits it.

use crate::config::plan_rows::row_value;
use crate::config::{
    Catalog, ChangeRefusal, ChangeRequest, ConfigAction, ConfigChange, OperationRecord, PlanRows,
    ResourceEdit, RowLayout, StoredResource, VersionCondition, resource_rules,
};
use crate::ids::{Revision, Version};
use crate::platform::{RowCheck, RowKey, RowWrite, Transaction};
use crate::resource::{ConfigResource, ResourceName};

/// Number of revisions that the change log keeps; each change deletes the row that becomes too old.
pub const LOG_RETENTION_REVISIONS: u64 = 20_000;

/// A valid change and the transaction that commits it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ChangePlan {
    /// The entry for the change log.
    pub change: ConfigChange,
    /// The transaction. Its row checks let it commit at most once, however often it is sent.
    pub transaction: Transaction,
}

/// Plans `request` from `rows`; `catalog` must be at the head revision in `rows`.
///
/// # Errors
/// `ChangeRefusal` when the version condition does not hold, or the change is invalid or conflicts
/// with another resource.
pub fn plan_change(
    request: &ChangeRequest,
    rows: &PlanRows,
    catalog: &Catalog,
) -> Result<ChangePlan, ChangeRefusal> {
    check_condition(request, rows)?;
    let action = decide_action(request, rows, catalog)?;
    let revision = rows.head.revision.next();
    let change = ConfigChange {
        revision,
        operation: request.operation.clone(),
        action,
    };
    let transaction = Transaction {
        checks: row_checks(request, rows),
        writes: row_writes(request, &change),
    };
    Ok(ChangePlan {
        change,
        transaction,
    })
}

fn check_condition(request: &ChangeRequest, rows: &PlanRows) -> Result<(), ChangeRefusal> {
    let name = || request.name.clone();
    let found = rows.resource.as_ref().map(|stored| stored.version);
    match (request.condition, found) {
        (VersionCondition::Absent, None) | (VersionCondition::Exists, Some(_)) => Ok(()),
        (VersionCondition::Absent, Some(version)) => {
            Err(ChangeRefusal::AlreadyExists(name(), version))
        }
        (VersionCondition::Exists, None) => Err(ChangeRefusal::NotFound(name())),
        (VersionCondition::Matches(expected), found) if found == Some(expected) => Ok(()),
        (VersionCondition::Matches(expected), found) => Err(ChangeRefusal::VersionMismatch(
            name(),
            expected,
            found.unwrap_or_default(),
        )),
    }
}

fn decide_action(
    request: &ChangeRequest,
    rows: &PlanRows,
    catalog: &Catalog,
) -> Result<ConfigAction, ChangeRefusal> {
    let stored = rows.resource.as_ref().map(|stored| &stored.resource);
    match (&request.edit, stored) {
        (ResourceEdit::Put(resource), stored) => {
            check_put(&request.name, resource, stored, rows, catalog)?;
            Ok(ConfigAction::Put(resource.clone()))
        }
        (ResourceEdit::Delete | ResourceEdit::Withdraw, None) => {
            Err(ChangeRefusal::NotFound(request.name.clone()))
        }
        (ResourceEdit::Delete, Some(stored)) => {
            check_delete(&request.name, stored, catalog)?;
            Ok(ConfigAction::Remove(stored.clone()))
        }
        (ResourceEdit::Withdraw, Some(ConfigResource::Key(key))) => {
            let mut key = key.clone();
            key.withdrawn = true;
            Ok(ConfigAction::Put(ConfigResource::Key(key)))
        }
        (ResourceEdit::Withdraw, Some(_)) => Err(ChangeRefusal::UnsupportedEdit(
            request.name.clone(),
            "only keys can be withdrawn",
        )),
    }
}

fn check_put(
    name: &ResourceName,
    resource: &ConfigResource,
    stored: Option<&ConfigResource>,
    rows: &PlanRows,
    catalog: &Catalog,
) -> Result<(), ChangeRefusal> {
    resource_rules::validate(resource)?;
    if let Some((field, reference)) = rows.missing_references.first() {
        return Err(ChangeRefusal::MissingReference(field, reference.clone()));
    }
    match (resource, stored) {
        (ConfigResource::Key(_), Some(_)) => Err(ChangeRefusal::UnsupportedEdit(
            name.clone(),
            "a key is issued once and then only withdrawn",
        )),
        (ConfigResource::Route(route), _) => {
            match catalog.route_with_prefix(route.rules.host.as_ref(), &route.prefix) {
                Some(other) if other.id != route.id => Err(ChangeRefusal::PrefixTaken(
                    route.prefix.clone(),
                    other.id.to_string(),
                )),
                _ => Ok(()),
            }
        }
        _ => Ok(()),
    }
}

fn check_delete(
    name: &ResourceName,
    stored: &ConfigResource,
    catalog: &Catalog,
) -> Result<(), ChangeRefusal> {
    let referrers = match stored {
        ConfigResource::Account(account) => {
            let references = catalog.account_references(&account.id);
            let mut referrers: Vec<String> = references
                .routes
                .iter()
                .map(|id| format!("route/{id}"))
                .collect();
            if references.has_rate_limit {
                referrers.push(format!("rate/{}", account.id));
            }
            if references.keys > 0 {
                referrers.push(format!("{} keys", references.keys));
            }
            referrers
        }
        ConfigResource::Service(service) => {
            let routes = catalog.routes_to_service(&service.id);
            routes.iter().map(|id| format!("route/{id}")).collect()
        }
        ConfigResource::Key(key) if !key.withdrawn => {
            return Err(ChangeRefusal::KeyActive(name.clone()));
        }
        ConfigResource::Key(_)
        | ConfigResource::Rate(_)
        | ConfigResource::Route(_)
        | ConfigResource::Evacuation(_) => Vec::new(),
    };
    if referrers.is_empty() {
        return Ok(());
    }
    Err(ChangeRefusal::InUse(name.clone(), referrers.join(", ")))
}

fn row_checks(request: &ChangeRequest, rows: &PlanRows) -> Vec<RowCheck> {
    let check = |key, version| RowCheck { key, version };
    vec![
        check(RowLayout::operation(&request.operation), Version(0)),
        check(RowLayout::resource(&request.name), rows.row_version),
        check(RowLayout::head(), rows.head.row_version),
    ]
}

fn row_writes(request: &ChangeRequest, change: &ConfigChange) -> Vec<RowWrite> {
    let record = OperationRecord {
        revision: change.revision,
        name: request.name.clone(),
        fingerprint: request.fingerprint(),
        content: change.content_hash(),
    };
    let stored = match &change.action {
        ConfigAction::Put(resource) => Some(row_value(&StoredResource {
            version: Version(change.revision.0),
            resource: resource.clone(),
        })),
        ConfigAction::Remove(_) => None,
    };
    let mut writes = vec![
        write(RowLayout::resource(&request.name), stored),
        write(RowLayout::log(change.revision), Some(row_value(change))),
        write(RowLayout::head(), Some(row_value(&change.revision))),
        write(
            RowLayout::operation(&request.operation),
            Some(row_value(&record)),
        ),
    ];
    if let Some(oldest) = change.revision.0.checked_sub(LOG_RETENTION_REVISIONS) {
        writes.push(write(RowLayout::log(Revision(oldest)), None));
    }
    writes
}

fn write(key: RowKey, value: Option<Vec<u8>>) -> RowWrite {
    RowWrite { key, value }
}
