//! The resource API over the configuration.

use std::time::Duration;

use actix_http::body::BoxBody;
use actix_http::header::{ETAG, HeaderValue};
use actix_http::{Method, Response, StatusCode};
use bytes::Bytes;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::admin::{ApiError, ChangeBody, ChangeHeaders, ListBody, ResourceBody, key_secret};
use crate::config::{
    ChangeOutcome, ChangeRequest, ConfigHandle, ResourceEdit, StoredResource, VersionCondition,
};
use crate::http::json_response;
use crate::ids::{AccountId, KeyId, OperationId};
use crate::platform::PlatformError;
use crate::resource::{ClientKey, ConfigResource, KeyHash, ResourceKind, ResourceName};

type Answer = Result<Response<BoxBody>, ApiError>;

/// Answers one kind of request each.
pub(super) struct ResourceApi {
    config: ConfigHandle,
}

/// Body of a request for a new key.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct KeyQuestion {
    id: KeyId,
    account: AccountId,
}

impl ResourceApi {
    /// Opens the API over `config`.
    pub(super) const fn open(config: ConfigHandle) -> Self {
        Self { config }
    }

    /// Lists the resources of `kind` after the name `after`.
    pub(super) async fn list(&self, kind: ResourceKind, after: Option<&str>) -> Answer {
        let stored = self.config.store().list(kind, after).await;
        let stored = stored.map_err(unreadable)?;
        let is_full = stored.len() == crate::config::PAGE_ROWS;
        let next = stored
            .last()
            .filter(|_| is_full)
            .map(|last| last.resource.name().id);
        let items = stored.into_iter().map(resource_body).collect();
        Ok(json_response(StatusCode::OK, &ListBody { items, next }))
    }

    /// Reads one resource.
    pub(super) async fn get(&self, name: &ResourceName) -> Answer {
        let stored = self.config.store().resource(name).await;
        let stored = stored
            .map_err(unreadable)?
            .ok_or_else(|| ApiError::NotFound(name.to_string()))?;
        let version = stored.version;
        let mut response = json_response(StatusCode::OK, &resource_body(stored));
        if let Ok(tag) = HeaderValue::from_str(&format!("\"{version}\"")) {
            response.headers_mut().insert(ETAG, tag);
        }
        Ok(response)
    }

    /// Reads the record of an operation.
    pub(super) async fn operation(&self, operation: &OperationId) -> Answer {
        let record = self.config.store().operation(operation).await;
        match record.map_err(unreadable)? {
            Some(record) => Ok(json_response(
                StatusCode::OK,
                &ChangeBody {
                    operation: operation.clone(),
                    revision: record.revision,
                    repeated: true,
                    secret: None,
                    in_force: None,
                },
            )),
            None => Err(ApiError::OperationNotFound(operation.clone())),
        }
    }

    /// Creates a resource; a key is issued, and its secret shown once.
    pub(super) async fn create(
        &self,
        kind: ResourceKind,
        headers: ChangeHeaders,
        body: &Bytes,
    ) -> Answer {
        let (resource, secret) = match kind {
            ResourceKind::Key => issue(body)?,
            _ => (parse_resource(kind, None, body)?, None),
        };
        let request = ChangeRequest {
            operation: headers.operation,
            name: resource.name(),
            edit: ResourceEdit::Put(resource),
            condition: VersionCondition::Absent,
        };
        self.change(request, headers.wait, StatusCode::CREATED, secret)
            .await
    }

    /// Writes a resource whole.
    pub(super) async fn put(
        &self,
        name: ResourceName,
        headers: ChangeHeaders,
        body: &Bytes,
    ) -> Answer {
        if name.kind == ResourceKind::Key {
            return Err(ApiError::MethodNotAllowed(
                Method::PUT.to_string(),
                "POST /v1/keys to issue and POST /v1/keys/ID/withdraw to withdraw",
            ));
        }
        let resource = parse_resource(name.kind, Some(&name.id), body)?;
        let condition = headers.require_condition()?;
        let request = ChangeRequest {
            operation: headers.operation,
            name,
            edit: ResourceEdit::Put(resource),
            condition,
        };
        self.change(request, headers.wait, StatusCode::OK, None)
            .await
    }

    /// Deletes a resource.
    pub(super) async fn delete(&self, name: ResourceName, headers: ChangeHeaders) -> Answer {
        let condition = headers.require_condition()?;
        let request = ChangeRequest {
            operation: headers.operation,
            name,
            edit: ResourceEdit::Delete,
            condition,
        };
        self.change(request, headers.wait, StatusCode::OK, None)
            .await
    }

    /// Withdraws a key for good.
    pub(super) async fn withdraw(&self, name: ResourceName, headers: ChangeHeaders) -> Answer {
        let request = ChangeRequest {
            operation: headers.operation,
            name,
            edit: ResourceEdit::Withdraw,
            condition: headers.condition.unwrap_or(VersionCondition::Exists),
        };
        self.change(request, headers.wait, StatusCode::OK, None)
            .await
    }

    async fn change(
        &self,
        request: ChangeRequest,
        wait: Option<Duration>,
        status: StatusCode,
        secret: Option<String>,
    ) -> Answer {
        let operation = request.operation.clone();
        let (revision, repeated) = match self.config.submit(request).await {
            ChangeOutcome::Accepted { revision, repeated } => (revision, repeated),
            ChangeOutcome::Refused(refusal) => return Err(refusal.into()),
            ChangeOutcome::NotAccepted(cause) => return Err(ApiError::NotAccepted(cause)),
            ChangeOutcome::Unknown(operation) => return Err(ApiError::OutcomeUnknown(operation)),
        };
        let in_force = match wait {
            Some(span) => Some(self.config.wait_for_propagation(revision, span).await),
            None => None,
        };
        let body = ChangeBody {
            operation,
            revision,
            repeated,
            // An earlier request's secret is not this one's.
            secret: secret.filter(|_| !repeated),
            in_force,
        };
        Ok(json_response(status, &body))
    }
}

fn unreadable(cause: PlatformError) -> ApiError {
    ApiError::Unreadable(cause.to_string())
}

fn resource_body(stored: StoredResource) -> ResourceBody {
    ResourceBody {
        version: stored.version,
        resource: resource_value(&stored.resource),
    }
}

/// The resource alone, without its kind.
pub(super) fn resource_value(resource: &ConfigResource) -> Value {
    let value = match resource {
        ConfigResource::Account(account) => serde_json::to_value(account),
        ConfigResource::Key(key) => serde_json::to_value(key),
        ConfigResource::Rate(rate) => serde_json::to_value(rate),
        ConfigResource::Route(route) => serde_json::to_value(route),
        ConfigResource::Service(service) => serde_json::to_value(service),
    };
    value.unwrap_or_default()
}

fn issue(body: &Bytes) -> Result<(ConfigResource, Option<String>), ApiError> {
    let question: KeyQuestion = parse(body)?;
    let secret = key_secret::generate_secret()?;
    let key = ClientKey {
        id: question.id,
        account: question.account,
        hash: KeyHash::hash_secret(&secret),
        withdrawn: false,
    };
    Ok((ConfigResource::Key(key), Some(secret)))
}

/// Reads a resource; the name in the path stands in for one that the body leaves out.
fn parse_resource(
    kind: ResourceKind,
    id: Option<&str>,
    body: &Bytes,
) -> Result<ConfigResource, ApiError> {
    let mut value: Value = parse(body)?;
    let field = match kind {
        ResourceKind::Rate => "account",
        _ => "id",
    };
    if let (Some(id), Some(object)) = (id, value.as_object_mut()) {
        let named = object.entry(field).or_insert_with(|| id.into());
        if named.as_str() != Some(id) {
            let cause = format!("field '{field}' has value {named}, but the path names '{id}'");
            return Err(ApiError::InvalidJson(cause));
        }
    }
    let resource = match kind {
        ResourceKind::Account => ConfigResource::Account(typed(value)?),
        ResourceKind::Key => ConfigResource::Key(typed(value)?),
        ResourceKind::Rate => ConfigResource::Rate(typed(value)?),
        ResourceKind::Route => ConfigResource::Route(typed(value)?),
        ResourceKind::Service => ConfigResource::Service(typed(value)?),
    };
    Ok(resource)
}

fn parse<T: DeserializeOwned>(body: &Bytes) -> Result<T, ApiError> {
    serde_json::from_slice(body).map_err(|cause| ApiError::InvalidJson(cause.to_string()))
}

fn typed<T: DeserializeOwned>(value: Value) -> Result<T, ApiError> {
    serde_json::from_value(value).map_err(|cause| ApiError::InvalidJson(cause.to_string()))
}
