//! The edge to a store that keeps the configuration as one document.

use std::time::Duration;

use async_trait::async_trait;

use crate::config::ConfigDocument;
use crate::ids::Version;
use crate::platform::PlatformError;

/// One answer of the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DocumentReading {
    /// The newest document, if the answer holds one.
    pub document: DocumentUpdate,
    /// Where to go on.
    pub position: Version,
    /// The store's steady clock when it answered, in milliseconds.
    pub store_millis: u64,
}

/// What an answer says of the document.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DocumentUpdate {
    /// It is the one read before, or there is none yet.
    Unchanged,
    /// It is new.
    New(ConfigDocument),
    /// It is new and cannot be used; the text says why.
    Invalid(String),
}

/// The answer to a question for what has changed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WatchResponse {
    /// What has changed, perhaps nothing.
    Reading(DocumentReading),
    /// The store no longer knows; read anew.
    HistoryLost,
}

/// Reads the document and waits for changes.
#[async_trait(?Send)]
pub trait DocumentSource {
    /// Reads the document as it is now.
    async fn read(&self) -> Result<DocumentReading, PlatformError>;

    /// Waits for at most `wait` for a change after `position`.
    async fn watch(
        &self,
        position: Version,
        wait: Duration,
    ) -> Result<WatchResponse, PlatformError>;
}
