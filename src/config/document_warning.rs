//! Parts of a configuration document that could not be used as they stand.

use std::fmt;

use crate::ids::RouteId;

/// A part of a document that was replaced or left out while the rest is in force.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DocumentWarning {
    /// The route's kind of requests is unknown, so each of its requests runs at most once.
    UnknownKind {
        /// The route.
        route: RouteId,
        /// The kind as the document names it.
        kind: String,
    },
    /// The entry is invalid and was left out.
    EntryLeftOut {
        /// The list that holds the entry, and its position there, like `tenants[3]`.
        entry: String,
        /// Why the entry is invalid.
        cause: String,
    },
}

impl fmt::Display for DocumentWarning {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::UnknownKind { route, kind } => write!(
                formatter,
                "route '{route}' has the unknown kind '{kind}'; its requests run at most once"
            ),
            Self::EntryLeftOut { entry, cause } => {
                write!(formatter, "{entry} is left out: {cause}")
            }
        }
    }
}
