//! Dispatches each stream opened by another daemon to the component that serves it.

use std::rc::Rc;

use crate::config::ConfigHandle;
use crate::egress::EgressHandle;
use crate::limits::LimitsHandle;
use crate::logs::log_target;
use crate::members::MembersHandle;
use crate::peers::{PeerHandler, PeerStream};
use crate::wire::{ConfigCall, ConfigReply, PeerCall, PeerOpening, PeerReply};

/// Builds the handler for streams that other daemons open.
pub(crate) fn handler(
    config: &ConfigHandle,
    members: &MembersHandle,
    limits: &LimitsHandle,
    egress: &EgressHandle,
) -> PeerHandler {
    let dispatcher = CallDispatcher {
        config: config.clone(),
        members: members.clone(),
        limits: limits.clone(),
        egress: egress.clone(),
    };
    Rc::new(move |opening, stream| {
        let dispatcher = dispatcher.clone();
        Box::pin(async move { dispatcher.serve(opening, stream).await })
    })
}

/// Handles of the components that serve calls and forwarded requests.
#[derive(Clone)]
struct CallDispatcher {
    config: ConfigHandle,
    members: MembersHandle,
    limits: LimitsHandle,
    egress: EgressHandle,
}

impl CallDispatcher {
    async fn serve(self, opening: PeerOpening, mut stream: PeerStream) {
        let call = match opening {
            PeerOpening::Request(offer) => return self.egress.serve(*offer, 0, stream).await,
            PeerOpening::LongRequest(offer, body_bytes) => {
                return self.egress.serve(*offer, body_bytes, stream).await;
            }
            PeerOpening::Call(call) => call,
        };
        let reply = match call {
            PeerCall::Config(ConfigCall::Watch(request)) => {
                let held = PeerReply::Config(ConfigReply::Held);
                let hold = async || stream.send(&held).await.is_ok();
                let Some(reply) = self.config.serve_watch(request, hold).await else {
                    return;
                };
                PeerReply::Config(ConfigReply::Watched(reply))
            }
            call => self.reply(call).await,
        };
        let sent = match stream.send(&reply).await {
            Ok(()) => stream.finish(),
            Err(cause) => Err(cause),
        };
        if let Err(cause) = sent {
            log::debug!(target: log_target::PEERS, cause:%; "Reply to a call of another daemon was not sent.");
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
