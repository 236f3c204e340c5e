//! Where the configuration stands in the platform's table.

use crate::ids::{OperationId, Revision};
use crate::platform::RowKey;
use crate::resource::{ResourceKind, ResourceName};

/// Keys of the configuration's rows.
pub struct RowLayout;

impl RowLayout {
    /// Prefix of every resource's row.
    pub const RESOURCES: &'static str = "config/resource/";

    /// The row that holds the newest revision.
    #[must_use]
    pub fn head() -> RowKey {
        RowKey("config/head".to_owned())
    }

    /// The row of a resource.
    #[must_use]
    pub fn resource(name: &ResourceName) -> RowKey {
        RowKey(format!("{}{name}", Self::RESOURCES))
    }

    /// Prefix of the rows of one kind.
    #[must_use]
    pub fn kind(kind: ResourceKind) -> String {
        format!("{}{kind}/", Self::RESOURCES)
    }

    /// The log row of a revision; rows sort by revision.
    #[must_use]
    pub fn log(revision: Revision) -> RowKey {
        RowKey(format!("config/log/{:020}", revision.0))
    }

    /// The row of an operation.
    #[must_use]
    pub fn operation(operation: &OperationId) -> RowKey {
        RowKey(format!("config/operation/{operation}"))
    }
}
