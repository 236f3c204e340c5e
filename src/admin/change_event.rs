//! Watch: streams configuration changes as newline-delimited JSON.

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

/// Interval between checks for a newer revision.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Polls without a change before an empty line is sent, which detects dead connections: 10 s.
const POLLS_PER_KEEP_ALIVE: u32 = 100;

/// How a change affected its resource.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ChangeAction {
    /// The resource was created or replaced.
    Put,
    /// The resource was deleted.
    Delete,
}

/// One change, sent as a line of the stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeEvent {
    /// Revision that the change created.
    pub revision: Revision,
    /// Operation id of the change.
    pub operation: OperationId,
    /// Whether the resource was written or deleted.
    pub action: ChangeAction,
    /// Kind of the changed resource.
    pub kind: ResourceKind,
    /// The resource after the change, or its last state before the deletion.
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

/// Responds with a stream of the changes after `from`, or after the current revision, until the
/// client disconnects.
///
/// # Errors
/// `ApiError::InvalidParameter` when `from` is newer than the current revision; `ApiError::TooOld`
/// when the changes after `from` are no longer stored; `ApiError::Unreadable` when they cannot be
/// read.
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
        Some((Ok(encode_lines(&changes)), (config, last, None)))
    }))
}

/// Waits for changes after `last`. Returns an empty list when a keep-alive is due. Returns `None`,
/// which ends the stream, when the changes cannot be read.
async fn next_changes(config: &ConfigHandle, last: Revision) -> Option<Vec<ConfigChange>> {
    for _ in 0..POLLS_PER_KEEP_ALIVE {
        if config.revision() > last {
            return config.changes_after(last).await.ok();
        }
        actix_rt::time::sleep(POLL_INTERVAL).await;
    }
    Some(Vec::new())
}

fn encode_lines(changes: &[ConfigChange]) -> Bytes {
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
