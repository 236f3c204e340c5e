//! Parser for the URL paths of the resource API.

use crate::admin::ApiError;
use crate::ids::OperationId;
use crate::resource::{ResourceKind, ResourceName};
use crate::wire::RequestDigest;

/// A parsed path below `/v1/`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ApiPath {
    /// All resources of a kind: `KINDs`.
    Collection(ResourceKind),
    /// One resource: `KINDs/ID`.
    Resource(ResourceName),
    /// Withdrawal of a key: `keys/ID/withdraw`.
    Withdraw(ResourceName),
    /// Outcome of a change by its operation id: `operations/ID`.
    Operation(OperationId),
    /// Stream of configuration changes: `watch`.
    Watch,
    /// The requests that are suspected of ending instances: `suspects`.
    Suspects,
    /// One of them: `suspects/DIGEST`.
    Suspect(RequestDigest),
}

impl ApiPath {
    /// Parses the part of the path after `/v1/`.
    ///
    /// # Errors
    /// `ApiError::UnknownPath` for an unknown path or kind; `ApiError::InvalidName` for a malformed
    /// name or operation id; `ApiError::InvalidParameter` for a malformed digest.
    pub fn parse(path: &str) -> Result<Self, ApiError> {
        let segments: Vec<&str> = path.split('/').collect();
        match segments.as_slice() {
            ["watch"] => Ok(Self::Watch),
            ["suspects"] => Ok(Self::Suspects),
            ["suspects", digest] => Ok(Self::Suspect(parse_digest(digest)?)),
            ["operations", id] => Ok(Self::Operation(id.parse()?)),
            [plural] => Ok(Self::Collection(parse_kind(plural)?)),
            [plural, id] => Ok(Self::Resource(resource_name(parse_kind(plural)?, id)?)),
            ["keys", id, "withdraw"] => Ok(Self::Withdraw(resource_name(ResourceKind::Key, id)?)),
            _ => Err(ApiError::UnknownPath(path.to_owned())),
        }
    }

    /// Absolute path of the collection that holds all resources of `kind`.
    #[must_use]
    pub fn collection_path(kind: ResourceKind) -> String {
        format!("/v1/{kind}s")
    }
}

fn parse_digest(text: &str) -> Result<RequestDigest, ApiError> {
    text.parse().map_err(|_| {
        let remedy = "use the digest of a log line or of /v1/suspects";
        ApiError::InvalidParameter("digest".to_owned(), text.to_owned(), remedy)
    })
}

fn parse_kind(plural: &str) -> Result<ResourceKind, ApiError> {
    ResourceKind::ALL
        .into_iter()
        .find(|kind| plural.strip_suffix('s') == Some(kind.to_string().as_str()))
        .ok_or_else(|| ApiError::UnknownPath(plural.to_owned()))
}

fn resource_name(kind: ResourceKind, id: &str) -> Result<ResourceName, ApiError> {
    let label = match kind {
        ResourceKind::Account | ResourceKind::Rate => "client account",
        ResourceKind::Key => "key",
        ResourceKind::Route => "route",
        ResourceKind::Service => "service",
        // The resource API tells whether such a zone exists, and names those that do.
        ResourceKind::Evacuation => return Ok(unchecked_name(kind, id)),
    };
    crate::ids::validate_name(label, id)?;
    Ok(unchecked_name(kind, id))
}

fn unchecked_name(kind: ResourceKind, id: &str) -> ResourceName {
    ResourceName {
        kind,
        id: id.to_owned(),
    }
}
