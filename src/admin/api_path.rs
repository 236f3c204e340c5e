//! What a path of the API names.

use crate::admin::ApiError;
use crate::ids::OperationId;
use crate::resource::{ResourceKind, ResourceName};

/// A path below `/v1`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ApiPath {
    /// All resources of a kind.
    Collection(ResourceKind),
    /// One resource.
    Resource(ResourceName),
    /// The withdrawal of a key.
    Withdraw(ResourceName),
    /// An operation.
    Operation(OperationId),
    /// The changes as they come.
    Watch,
}

impl ApiPath {
    /// Reads the path that follows `/v1/`.
    ///
    /// # Errors
    /// `ApiError::UnknownPath` or `ApiError::InvalidName`.
    pub fn parse(path: &str) -> Result<Self, ApiError> {
        let segments: Vec<&str> = path.split('/').collect();
        match segments.as_slice() {
            ["watch"] => Ok(Self::Watch),
            ["operations", id] => Ok(Self::Operation(id.parse()?)),
            [plural] => Ok(Self::Collection(kind(plural)?)),
            [plural, id] => Ok(Self::Resource(name(kind(plural)?, id)?)),
            ["keys", id, "withdraw"] => Ok(Self::Withdraw(name(ResourceKind::Key, id)?)),
            _ => Err(ApiError::UnknownPath(path.to_owned())),
        }
    }

    /// The path of all resources of `kind`.
    #[must_use]
    pub fn collection_path(kind: ResourceKind) -> String {
        format!("/v1/{kind}s")
    }
}

fn kind(plural: &str) -> Result<ResourceKind, ApiError> {
    ResourceKind::ALL
        .into_iter()
        .find(|kind| plural.strip_suffix('s') == Some(kind.to_string().as_str()))
        .ok_or_else(|| ApiError::UnknownPath(plural.to_owned()))
}

fn name(kind: ResourceKind, id: &str) -> Result<ResourceName, ApiError> {
    let label = match kind {
        ResourceKind::Account | ResourceKind::Rate => "client account",
        ResourceKind::Key => "key",
        ResourceKind::Route => "route",
        ResourceKind::Service => "service",
    };
    crate::ids::check_name(label, id)?;
    Ok(ResourceName {
        kind,
        id: id.to_owned(),
    })
}
