//! SWIM gossip membership: the live daemons of the fleet and the instance records they publish.
//!
//! `GossipCore` is the protocol's state machine without I/O. `MembersHandle` drives it over
//! UDP datagrams and `h2` calls. The view may be stale: the egress beside an instance decides
//! whether the instance takes a request.

mod change_queue;
mod datagram_codec;
mod failure_detector;
mod fleet_digests;
mod fleet_view;
mod gossip_action;
mod gossip_context;
mod gossip_core;
mod gossip_counters;
mod gossip_crossings;
mod gossip_receive;
mod gossip_repair;
mod gossip_send;
mod gossip_timers;
mod gossip_zones;
mod indirect_probes;
mod live_member;
mod local_records;
mod member_directory;
mod member_sources;
mod member_table;
mod members_datagrams;
mod members_discovery;
mod members_handle;
mod members_pulls;
mod message_builder;
mod name_digest;
mod record_table;
mod remote_services;
mod suspicion_timer;
mod zone_contacts;
mod zone_crossings;
mod zone_relays;
mod zone_state;

pub use change_queue::{ChangeKey, ChangeQueue};
pub use datagram_codec::{DatagramCodec, DatagramError, MAX_DATAGRAM_BYTES};
pub use failure_detector::{FailureDetector, ProbeAction};
pub use fleet_view::{FleetView, MAX_NEAR_INSTANCES};
pub use gossip_action::GossipAction;
pub use gossip_core::GossipCore;
pub use gossip_counters::GossipCounters;
pub use indirect_probes::{IndirectProbe, IndirectProbes};
pub use live_member::LiveMember;
pub use local_records::LocalRecords;
pub use member_directory::{MemberDirectory, MemberRow};
pub use member_sources::{LeaveObserver, MemberSources};
pub use member_table::{MemberChange, MemberEntry, MemberTable};
pub use members_handle::MembersHandle;
pub use message_builder::MessageBuilder;
pub use name_digest::NameDigest;
pub use record_table::{RecordChange, RecordTable};
pub use remote_services::RemoteServices;
pub use suspicion_timer::SuspicionTimer;
pub use zone_contacts::ZoneContacts;
pub use zone_crossings::ZoneCrossings;
pub use zone_relays::ZoneRelays;
