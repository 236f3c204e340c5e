//! Keys of the configuration's rows in the platform's table.

use crate::ids::{OperationId, Revision};
use crate::platform::RowKey;
use crate::resource::{ResourceKind, ResourceName};

/// Builds the keys of the configuration's rows.
pub struct RowLayout;

impl RowLayout {
    /// Key prefix of all resource rows.
    pub const RESOURCES: &'static str = "config/resource/";

    /// Key of the row that holds the newest revision.
    #[must_use]
    pub fn head() -> RowKey {
        RowKey("config/head".to_owned())
    }

    /// Key of a resource's row.
    #[must_use]
    pub fn resource(name: &ResourceName) -> RowKey {
        RowKey(format!("{}{name}", Self::RESOURCES))
    }

    /// Key prefix of the resource rows of one kind.
    #[must_use]
    pub fn kind_prefix(kind: ResourceKind) -> String {
        format!("{}{kind}/", Self::RESOURCES)
    }

    /// Key of a revision's row in the change log. The revision is zero-padded, so that keys sort by
    /// revision.
    #[must_use]
    pub fn log(revision: Revision) -> RowKey {
        RowKey(format!("config/log/{:020}", revision.0))
    }

    /// Key of an operation's record.
    #[must_use]
    pub fn operation(operation: &OperationId) -> RowKey {
        RowKey(format!("config/operation/{operation}"))
    }
}
