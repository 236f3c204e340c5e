//! Assembles the body of an offered request.

use crate::egress::StartEvent;
use crate::wire::IngressMessage;

/// What is still to arrive of a request's body.
#[derive(Debug)]
pub struct OfferedBody {
    /// Size of a body that is sent in parts, or 0.
    total_bytes: u64,
    is_confirmed: bool,
}

impl OfferedBody {
    /// Creates the state before `Go`. `total_bytes` is the size of a body that is sent in parts, or
    /// 0 if `Go` or the offer holds it.
    #[must_use]
    pub const fn open(total_bytes: u64) -> Self {
        Self {
            total_bytes,
            is_confirmed: false,
        }
    }

    /// Adds a message of the ingress to `body` and returns its event. `Go` takes effect only when
    /// the body is complete, so that an instance never gets a part of it.
    pub fn add(&mut self, message: IngressMessage, body: &mut Vec<u8>) -> StartEvent {
        match message {
            IngressMessage::Go { body: whole } => {
                self.is_confirmed = true;
                if !whole.is_empty() {
                    *body = whole;
                }
            }
            IngressMessage::BodyPart(part) => body.extend_from_slice(&part),
        }
        match (self.total_bytes, body.len() as u64) {
            (0, _) if self.is_confirmed => StartEvent::Go,
            (total, received) if received > total => StartEvent::StreamLost,
            (total, received) if received == total && self.is_confirmed => StartEvent::Go,
            _ => StartEvent::BodyProgress,
        }
    }
}
