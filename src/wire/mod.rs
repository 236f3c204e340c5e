//! Messages between daemons, as plain types with derived `bincode` codecs.
//!
//! The order of fields and enum variants is part of the encoding.

mod call_rate;
mod codec;
mod config_call;
mod egress_message;
mod gossip_message;
mod ingress_message;
mod instance_load;
mod instance_record;
mod instances_call;
mod known_run;
mod limits_call;
mod limits_grant;
mod limits_loan;
mod member_record;
mod peer_call;
mod peer_opening;
mod peer_reply;
mod request_digest;
mod request_offer;
mod run_report;

pub use call_rate::CallRate;
pub use codec::{CodecError, MAX_MESSAGE_BYTES, decode, encode};
pub use config_call::{
    ConfigCall, ConfigReply, ConfigState, SnapshotCursor, SnapshotItem, SnapshotKey, SnapshotPage,
    WatchReply, WatchRequest,
};
pub use egress_message::{BackendHead, EgressMessage, FailureCause, RefusalReason};
pub use gossip_message::{BucketDigest, GossipBody, GossipMessage, OwnerDigest, ZoneContact};
pub use ingress_message::IngressMessage;
pub use instance_load::InstanceLoad;
pub use instance_record::{HealthState, InstancePhase, InstanceRecord};
pub use instances_call::{InstancesCall, InstancesReply, OwnerState};
pub use known_run::KnownRun;
pub use limits_call::{LimitsCall, LimitsReply};
pub use limits_grant::{
    GrantDemand, GrantOutcome, GrantReply, GrantRequest, GrantUsage, TokenGrant,
};
pub use limits_loan::{LoanDemand, LoanReply, LoanRequest, LoanReturn, ReturnedLoan, ShardLoan};
pub use member_record::{MemberRecord, MemberState};
pub use peer_call::PeerCall;
pub use peer_opening::PeerOpening;
pub use peer_reply::PeerReply;
pub use request_digest::RequestDigest;
pub use request_offer::RequestOffer;
pub use run_report::{RunOutcome, RunReport};
