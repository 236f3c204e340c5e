//! The JSON bodies of the API's answers.

use serde::{Deserialize, Serialize};

use crate::config::PropagationReport;
use crate::ids::{OperationId, Revision, Version};

/// A resource with its version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResourceBody {
    /// To be sent as `If-Match` with the next change; the revision of the last change.
    pub version: Version,
    /// The resource as it was written.
    pub resource: serde_json::Value,
}

/// A page of resources.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListBody {
    /// The resources in the order of their names.
    pub items: Vec<ResourceBody>,
    /// To be sent as `after` for the next page; absent on the last one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub next: Option<String>,
}

/// An accepted change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeBody {
    /// The operation, as sent or drawn by the server.
    pub operation: OperationId,
    /// The revision that it made, which is the resource's version from now on.
    pub revision: Revision,
    /// Whether an earlier request with the same operation had made the change.
    #[serde(default)]
    pub repeated: bool,
    /// A new key's secret, shown once.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub secret: Option<String>,
    /// Where the change is in force, if the request asked to wait for that.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub in_force: Option<PropagationReport>,
}

/// A refusal.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// A stable word.
    pub reason: String,
    /// What is wrong, and the remedy.
    pub message: String,
    /// The operation whose outcome is unknown.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub operation: Option<OperationId>,
}
