//! Handlers of the resource API: list, read, create, replace, delete, and withdraw keys.

use std::collections::BTreeSet;
use std::rc::Rc;
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
use crate::ids::{AccountId, KeyId, OperationId, ZoneId};
use crate::platform::PlatformError;
use crate::resource::{ClientKey, ConfigResource, KeyHash, ResourceKind, ResourceName};

type ApiResult = Result<Response<BoxBody>, ApiError>;

/// Handles requests to read and change the resources of the configuration.
pub(super) struct ResourceApi {
    config: ConfigHandle,
    zones: Rc<dyn Fn() -> BTreeSet<ZoneId>>,
}

/// Request body for issuing a key.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct KeyRequest {
    id: KeyId,
    account: AccountId,
}

impl ResourceApi {
    /// Creates the API; reads go to the store of `config`, and changes are submitted to `config`.
    /// `zones` returns the availability zones that exist.
    pub(super) fn open(config: ConfigHandle, zones: Rc<dyn Fn() -> BTreeSet<ZoneId>>) -> Self {
        Self { config, zones }
    }

    /// Returns a page of the resources of `kind` whose names sort after `after`.
    pub(super) async fn list(&self, kind: ResourceKind, after: Option<&str>) -> ApiResult {
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

    /// Returns one resource, with its version as the `ETag`.
    pub(super) async fn get(&self, name: &ResourceName) -> ApiResult {
        self.check_zone(name.kind, &name.id)?;
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

    /// Returns the revision that an operation created.
    pub(super) async fn operation(&self, operation: &OperationId) -> ApiResult {
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

    /// Creates a resource. For a key it generates the secret, which only this response contains.
    pub(super) async fn create(
        &self,
        kind: ResourceKind,
        headers: ChangeHeaders,
        body: &Bytes,
    ) -> ApiResult {
        let (resource, secret) = match kind {
            ResourceKind::Key => issue_key(body)?,
            _ => (self.parse_resource(kind, None, body)?, None),
        };
        let request = ChangeRequest {
            operation: headers.operation,
            name: resource.name(),
            edit: ResourceEdit::Put(resource),
            condition: VersionCondition::Absent,
        };
        self.submit(request, headers.wait, StatusCode::CREATED, secret)
            .await
    }

    /// Creates or replaces a resource; keys can only be issued and withdrawn.
    pub(super) async fn put(
        &self,
        name: ResourceName,
        headers: ChangeHeaders,
        body: &Bytes,
    ) -> ApiResult {
        if name.kind == ResourceKind::Key {
            return Err(ApiError::MethodNotAllowed(
                Method::PUT.to_string(),
                "POST /v1/keys to issue and POST /v1/keys/ID/withdraw to withdraw",
            ));
        }
        let resource = self.parse_resource(name.kind, Some(&name.id), body)?;
        let condition = headers.require_condition()?;
        let request = ChangeRequest {
            operation: headers.operation,
            name,
            edit: ResourceEdit::Put(resource),
            condition,
        };
        self.submit(request, headers.wait, StatusCode::OK, None)
            .await
    }

    /// Deletes a resource whose version matches the condition.
    pub(super) async fn delete(&self, name: ResourceName, headers: ChangeHeaders) -> ApiResult {
        self.check_zone(name.kind, &name.id)?;
        let condition = headers.require_condition()?;
        let request = ChangeRequest {
            operation: headers.operation,
            name,
            edit: ResourceEdit::Delete,
            condition,
        };
        self.submit(request, headers.wait, StatusCode::OK, None)
            .await
    }

    /// Withdraws a key permanently.
    pub(super) async fn withdraw(&self, name: ResourceName, headers: ChangeHeaders) -> ApiResult {
        let request = ChangeRequest {
            operation: headers.operation,
            name,
            edit: ResourceEdit::Withdraw,
            condition: headers.condition.unwrap_or(VersionCondition::Exists),
        };
        self.submit(request, headers.wait, StatusCode::OK, None)
            .await
    }

    /// Checks that the zone of an evacuation exists or is out of service.
    fn check_zone(&self, kind: ResourceKind, id: &str) -> Result<(), ApiError> {
        if kind != ResourceKind::Evacuation {
            return Ok(());
        }
        let mut zones = (self.zones)();
        zones.extend(self.config.evacuated_zones().iter().cloned());
        if zones.iter().any(|zone| zone.as_str() == id) {
            return Ok(());
        }
        let names: Vec<&str> = zones.iter().map(ZoneId::as_str).collect();
        Err(ApiError::UnknownZone(id.to_owned(), names.join(", ")))
    }

    /// Parses a resource. A body without a name gets the name from the path; a different name is an
    /// error.
    fn parse_resource(
        &self,
        kind: ResourceKind,
        id: Option<&str>,
        body: &Bytes,
    ) -> Result<ConfigResource, ApiError> {
        let value = named_value(kind, id, body)?;
        if let Some(zone) = value.get("id").and_then(Value::as_str) {
            self.check_zone(kind, zone)?;
        }
        resource_from_value(kind, value)
    }

    async fn submit(
        &self,
        request: ChangeRequest,
        wait: Option<Duration>,
        status: StatusCode,
        secret: Option<String>,
    ) -> ApiResult {
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
            // On a repeat the key keeps the secret of the earlier request.
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

/// Returns the fields of the resource without its kind.
pub(super) fn resource_value(resource: &ConfigResource) -> Value {
    let value = match resource {
        ConfigResource::Account(account) => serde_json::to_value(account),
        ConfigResource::Key(key) => serde_json::to_value(key),
        ConfigResource::Rate(rate) => serde_json::to_value(rate),
        ConfigResource::Route(route) => serde_json::to_value(route),
        ConfigResource::Service(service) => serde_json::to_value(service),
        ConfigResource::Evacuation(evacuation) => serde_json::to_value(evacuation),
    };
    value.unwrap_or_default()
}

fn issue_key(body: &Bytes) -> Result<(ConfigResource, Option<String>), ApiError> {
    let request: KeyRequest = parse_json(body)?;
    let secret = key_secret::generate_secret()?;
    let key = ClientKey {
        id: request.id,
        account: request.account,
        hash: KeyHash::hash_secret(&secret),
        withdrawn: false,
    };
    Ok((ConfigResource::Key(key), Some(secret)))
}

/// Parses the fields of a resource, with the name from the path if they lack it.
fn named_value(kind: ResourceKind, id: Option<&str>, body: &Bytes) -> Result<Value, ApiError> {
    let mut value: Value = parse_json(body)?;
    let field = match kind {
        ResourceKind::Rate => "account",
        _ => "id",
    };
    if let (Some(id), Some(object)) = (id, value.as_object_mut()) {
        let body_id = object.entry(field).or_insert_with(|| id.into());
        if body_id.as_str() != Some(id) {
            let cause = format!("field '{field}' has value {body_id}, but the path names '{id}'");
            return Err(ApiError::InvalidJson(cause));
        }
    }
    Ok(value)
}

fn resource_from_value(kind: ResourceKind, value: Value) -> Result<ConfigResource, ApiError> {
    let resource = match kind {
        ResourceKind::Account => ConfigResource::Account(from_value(value)?),
        ResourceKind::Key => ConfigResource::Key(from_value(value)?),
        ResourceKind::Rate => ConfigResource::Rate(from_value(value)?),
        ResourceKind::Route => ConfigResource::Route(from_value(value)?),
        ResourceKind::Service => ConfigResource::Service(from_value(value)?),
        ResourceKind::Evacuation => ConfigResource::Evacuation(from_value(value)?),
    };
    Ok(resource)
}

fn parse_json<T: DeserializeOwned>(body: &Bytes) -> Result<T, ApiError> {
    serde_json::from_slice(body).map_err(|cause| ApiError::InvalidJson(cause.to_string()))
}

fn from_value<T: DeserializeOwned>(value: Value) -> Result<T, ApiError> {
    serde_json::from_value(value).map_err(|cause| ApiError::InvalidJson(cause.to_string()))
}
