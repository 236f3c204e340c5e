//! Which of the daemons that pass a document on are silent, and the log lines about them.

use std::net::SocketAddr;

use crate::logs::log_target;
use crate::time::MonoTime;

/// Tracks when the daemon that is asked was last heard.
#[derive(Debug, Default)]
pub(super) struct PeerSilence {
    /// The daemon that was asked last, and when it was heard.
    heard: Option<(SocketAddr, MonoTime)>,
    /// The daemons that fell silent since this one last heard of its document from its parent, with the
    /// times at which they were last heard.
    silent: Vec<(SocketAddr, MonoTime)>,
    /// How often a daemon fell silent.
    count: u64,
}

impl PeerSilence {
    /// Records that `peer` is asked at `now`.
    pub(super) fn asked(&mut self, peer: SocketAddr, now: MonoTime) {
        if self.heard.is_none_or(|(heard, _)| heard != peer) {
            self.heard = Some((peer, now));
        }
    }

    /// Records a message of `peer`.
    pub(super) const fn heard(&mut self, peer: SocketAddr, now: MonoTime) {
        self.heard = Some((peer, now));
    }

    /// Records that `peer` did not answer, and logs it once until the configuration is heard as usual.
    pub(super) fn fell_silent(&mut self, peer: SocketAddr, now: MonoTime) {
        self.count += 1;
        if self.silent.iter().any(|(silent, _)| *silent == peer) {
            return;
        }
        let heard = self.heard.filter(|(heard, _)| *heard == peer);
        let heard_at = heard.map_or(now, |(_, time)| time);
        self.silent.push((peer, heard_at));
        let silent_ms = now.since(heard_at).as_millis();
        log::info!(target: log_target::CONFIG, peer:%, silent_ms; "Daemon that passes the configuration on is silent, the store is watched in its place.");
    }

    /// Records that the configuration is heard as usual, and logs it if it was not.
    pub(super) fn ended(&mut self, now: MonoTime) {
        for (peer, heard_at) in std::mem::take(&mut self.silent) {
            let silent_ms = now.since(heard_at).as_millis();
            log::info!(target: log_target::CONFIG, peer:%, silent_ms; "Configuration comes from the parent again, the store is no longer watched in place of a silent daemon.");
        }
    }

    /// How often a daemon that was asked fell silent.
    pub(super) const fn count(&self) -> u64 {
        self.count
    }
}
