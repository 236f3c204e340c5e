//! Leads each stream of another daemon to the part that serves it.

use std::rc::Rc;

use crate::config::ConfigHandle;
use crate::egress::EgressHandle;
use crate::limits::LimitsHandle;
use crate::logs::part;
use crate::members::MembersHandle;
use crate::peers::{PeerHandler, PeerStream};
use crate::wire::{PeerCall, PeerOpening, PeerReply};

/// The handler of the peers' listener.
pub(crate) fn handler(
    config: &ConfigHandle,
    members: &MembersHandle,
    limits: &LimitsHandle,
    egress: &EgressHandle,
) -> PeerHandler {
    let parts = CallParts {
        config: config.clone(),
        members: members.clone(),
        limits: limits.clone(),
        egress: egress.clone(),
    };
    Rc::new(move |opening, stream| {
        let parts = parts.clone();
        Box::pin(async move { parts.serve(opening, stream).await })
    })
}

#[derive(Clone)]
struct CallParts {
    config: ConfigHandle,
    members: MembersHandle,
    limits: LimitsHandle,
    egress: EgressHandle,
}

impl CallParts {
    async fn serve(self, opening: PeerOpening, mut stream: PeerStream) {
        let call = match opening {
            PeerOpening::Request(offer) => return self.egress.serve(*offer, stream).await,
            PeerOpening::Call(call) => call,
        };
        let reply = self.reply(call).await;
        let sent = match stream.send(&reply).await {
            Ok(()) => stream.finish(),
            Err(cause) => Err(cause),
        };
        if let Err(cause) = sent {
            log::debug!(target: part::PEERS, cause:%; "Reply not delivered.");
        }
    }

    async fn reply(&self, call: PeerCall) -> PeerReply {
        match call {
            PeerCall::Config(call) => PeerReply::Config(self.config.serve(call).await),
            PeerCall::Instances(call) => PeerReply::Instances(self.members.serve(call).await),
            PeerCall::Limits(call) => PeerReply::Limits(self.limits.serve(call).await),
        }
    }
}
