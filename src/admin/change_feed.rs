//! The changes as a stream of JSON lines.

use std::convert::Infallible;
use std::time::Duration;

use actix_http::body::{BodyStream, BoxBody};
use actix_http::header::{CONTENT_TYPE, HeaderValue};
use actix_http::{Response, StatusCode};
use bytes::Bytes;
use futures_util::stream::{self, Stream};
use serde::{Deserialize, Serialize};

use crate::admin::ApiError;
use crate::admin::resource_api::resource_value;
use crate::config::{ConfigAction, ConfigChange, ConfigHandle};
use crate::ids::{OperationId, Revision};
use crate::resource::ResourceKind;

const LOOK_PAUSE: Duration = Duration::from_millis(100);
/// Looks without news before an empty line is sent, which finds dead connections.
const LOOKS_PER_KEEP_ALIVE: u32 = 100;

/// What a change did.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ChangeAction {
    /// The resource was written.
    Put,
    /// The resource was deleted.
    Delete,
}

/// One line of the stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeEvent {
    /// The revision that the change made.
    pub revision: Revision,
    /// The operator's operation.
    pub operation: OperationId,
    /// What it did.
    pub action: ChangeAction,
    /// The kind of the resource.
    pub kind: ResourceKind,
    /// The resource, or its last state.
    pub resource: serde_json::Value,
}

impl ChangeEvent {
    fn from_change(change: &ConfigChange) -> Self {
        let (action, resource) = match &change.action {
            ConfigAction::Put(resource) => (ChangeAction::Put, resource),
            ConfigAction::Remove(resource) => (ChangeAction::Delete, resource),
        };
        Self {
            revision: change.revision,
            operation: change.operation.clone(),
            action,
            kind: resource.kind(),
            resource: resource_value(resource),
        }
    }
}

/// Answers with the changes after `from` for as long as the operator listens.
///
/// # Errors
/// `ApiError::TooOld` when the changes are no longer kept.
pub(super) async fn watch(
    config: &ConfigHandle,
    from: Option<Revision>,
) -> Result<Response<BoxBody>, ApiError> {
    let from = from.unwrap_or_else(|| config.revision());
    if from > config.revision() {
        let remedy = "use a revision that exists; leave it out to watch from now on";
        return Err(ApiError::InvalidParameter(
            "from".to_owned(),
            from.to_string(),
            remedy,
        ));
    }
    let first = config.changes_after(from).await?;
    let lines = stream_lines(config.clone(), from, first);
    let mut response = Response::with_body(StatusCode::OK, BoxBody::new(BodyStream::new(lines)));
    let kind = HeaderValue::from_static("application/x-ndjson");
    response.headers_mut().insert(CONTENT_TYPE, kind);
    Ok(response)
}

fn stream_lines(
    config: ConfigHandle,
    from: Revision,
    first: Vec<ConfigChange>,
) -> impl Stream<Item = Result<Bytes, Infallible>> {
    let start = (config, from, Some(first));
    Box::pin(stream::unfold(start, |(config, last, first)| async move {
        let changes = match first.filter(|changes| !changes.is_empty()) {
            Some(changes) => changes,
            None => next_changes(&config, last).await?,
        };
        let last = changes.last().map_or(last, |change| change.revision);
        Some((Ok(lines_of(&changes)), (config, last, None)))
    }))
}

/// Waits for changes after `last`; empty for a keep-alive, none when they cannot be had any more.
async fn next_changes(config: &ConfigHandle, last: Revision) -> Option<Vec<ConfigChange>> {
    for _ in 0..LOOKS_PER_KEEP_ALIVE {
        if config.revision() > last {
            return config.changes_after(last).await.ok();
        }
        actix_rt::time::sleep(LOOK_PAUSE).await;
    }
    Some(Vec::new())
}

fn lines_of(changes: &[ConfigChange]) -> Bytes {
    let mut text = String::new();
    for change in changes {
        let line = serde_json::to_string(&ChangeEvent::from_change(change));
        text.push_str(&line.unwrap_or_default());
        text.push('\n');
    }
    if text.is_empty() {
        text.push('\n');
    }
    text.into()
}
