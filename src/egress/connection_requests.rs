//! The requests of one connection to a backend server.

/// Maximum number of failed requests on a connection that is used again.
const MAX_FAILED: usize = 16;

/// Remembers the requests that failed on a connection. A faulty backend server may send such a response
/// once more, and it would be taken for the response to the same request if that were sent again here.
#[derive(Debug, Default)]
pub(crate) struct ConnectionRequests {
    /// Name of the request that was sent last.
    last: String,
    failed: Vec<String>,
}

impl ConnectionRequests {
    /// Records that the request `name` is sent.
    pub(crate) fn begin(&mut self, name: &str) {
        name.clone_into(&mut self.last);
    }

    /// Records that the last request got a response with `status`. Returns whether the connection may be
    /// used again.
    pub(crate) fn end(&mut self, status: u16) -> bool {
        if !(200..300).contains(&status) {
            self.failed.push(std::mem::take(&mut self.last));
        }
        self.failed.len() < MAX_FAILED
    }

    /// Whether the request `name` may be sent.
    pub(crate) fn accepts(&self, name: &str) -> bool {
        !self.failed.iter().any(|failed| failed == name)
    }
}
