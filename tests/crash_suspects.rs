//! Which requests are refused because they end the instances that run them, without a network.
//!
//! The load: one client account repeats such a request beside usual traffic, while instances also end
//! for other reasons.

use std::time::Duration;

use wagtailtrack::crashes::{
    CrashRules, MAX_ACCOUNT_SUSPECTS, MAX_SUSPECTS, RequestStanding, SuspectTable,
};
use wagtailtrack::ids::AccountId;
use wagtailtrack::time::MonoTime;
use wagtailtrack::wire::{RequestDigest, RunOutcome, RunReport};

const RULES: CrashRules = CrashRules {
    limit: 3,
    hold: Duration::from_secs(600),
};

fn digest(account: &str, target: &str) -> RequestDigest {
    let account: AccountId = account.parse().unwrap();
    RequestDigest::open(&account, "GET", None, target, b"")
}

/// Tables of several daemons that hear of each other's reports at once.
struct Fleet {
    tables: Vec<SuspectTable>,
    now: MonoTime,
}

impl Fleet {
    fn open(daemons: usize) -> Self {
        Self {
            tables: (0..daemons).map(|_| SuspectTable::open(RULES)).collect(),
            now: MonoTime::from_millis(1),
        }
    }

    /// An instance beside `daemon` ends while it runs `running`.
    fn end(&mut self, daemon: usize, running: &[RequestDigest]) {
        let reports = self.tables[daemon].reports_of_end(running, self.now);
        self.tell(&reports);
    }

    fn complete(&mut self, digest: RequestDigest) {
        self.tell(&[RunReport::open(digest, RunOutcome::Completed)]);
    }

    fn tell(&mut self, reports: &[RunReport]) {
        for table in &mut self.tables {
            for report in reports {
                table.record(report, self.now);
            }
        }
    }

    /// The standing, which must be the same at all daemons.
    fn standing(&self, digest: RequestDigest) -> RequestStanding {
        let mut standings = self
            .tables
            .iter()
            .map(|table| table.standing(digest, self.now));
        let first = standings.next().unwrap();
        assert!(standings.all(|standing| standing == first));
        first
    }
}

/// Guards against a request that ends one instance after the other and is never refused.
#[test]
fn third_end_refuses() {
    let mut fleet = Fleet::open(3);
    let (guilty, beside) = (digest("crew", "/a"), digest("crew", "/b"));
    fleet.end(0, &[guilty, beside]);
    assert_eq!(fleet.standing(guilty), RequestStanding::Suspected(1));
    fleet.end(1, &[guilty, digest("crew", "/c")]);
    assert_eq!(fleet.standing(guilty), RequestStanding::Suspected(2));
    fleet.end(2, &[guilty, digest("crew", "/d")]);
    assert_eq!(fleet.standing(guilty), RequestStanding::Refused(3));
    assert_eq!(fleet.standing(beside), RequestStanding::Suspected(1));
}

/// Guards against the refusal of an innocent request that ran beside the guilty one at three ends in a
/// row: none of these ends tells which of both it was.
#[test]
fn companion_not_refused() {
    let mut fleet = Fleet::open(2);
    let (guilty, innocent) = (digest("crew", "/a"), digest("crew", "/b"));
    for _ in 0..3 {
        fleet.end(0, &[guilty, innocent]);
    }
    assert_eq!(fleet.standing(innocent), RequestStanding::Suspected(3));
    fleet.complete(innocent);
    assert_eq!(fleet.standing(innocent), RequestStanding::Clear);
    fleet.end(1, &[guilty]);
    assert_eq!(fleet.standing(guilty), RequestStanding::Refused(4));
    assert_eq!(fleet.standing(innocent), RequestStanding::Clear);
}

/// Guards against the refusal of a common read that is under way wherever instances end: between the
/// ends it runs to its end elsewhere.
#[test]
fn common_read_served() {
    let mut fleet = Fleet::open(2);
    let read = digest("crew", "/status");
    for _ in 0..20 {
        fleet.end(0, &[read]);
        fleet.end(1, &[read]);
        fleet.complete(read);
        assert_eq!(fleet.standing(read), RequestStanding::Clear);
    }
}

/// Guards against a refusal for ends with a common cause, such as the loss of a rack, at which the same
/// request was running everywhere.
#[test]
fn ends_at_once() {
    let mut fleet = Fleet::open(1);
    let read = digest("crew", "/status");
    // No daemon has heard of another's end when it reports its own.
    let unaware = SuspectTable::open(RULES);
    for _ in 0..5 {
        let reports = unaware.reports_of_end(&[read], fleet.now);
        fleet.tell(&reports);
    }
    assert_eq!(fleet.standing(read), RequestStanding::Suspected(5));
    fleet.end(0, &[read]);
    assert_eq!(fleet.standing(read), RequestStanding::Refused(6));
}

/// Guards against a report that counts twice because it arrives on several ways, and against ends that
/// count again after a run that completed.
#[test]
fn late_copies_ignored() {
    let mut fleet = Fleet::open(1);
    let request = digest("crew", "/a");
    let reports = fleet.tables[0].reports_of_end(&[request, request], fleet.now);
    assert_eq!(reports.len(), 1, "the request ran twice at one end");
    for _ in 0..3 {
        fleet.tell(&reports);
    }
    assert_eq!(fleet.standing(request), RequestStanding::Suspected(1));
    fleet.complete(request);
    fleet.tell(&reports);
    assert_eq!(fleet.standing(request), RequestStanding::Clear);
}

/// Guards against a daemon that starts and knows less than its neighbours, and against one that has
/// missed that a request was cleared.
#[test]
fn newcomer_learns_all() {
    let mut fleet = Fleet::open(1);
    let (guilty, cleared) = (digest("crew", "/a"), digest("crew", "/b"));
    let before = fleet.tables[0].reports_of_end(&[cleared], fleet.now);
    fleet.tell(&before);
    fleet.complete(cleared);
    for _ in 0..3 {
        fleet.end(0, &[guilty]);
    }
    let mut newcomer = SuspectTable::open(RULES);
    newcomer.record(&before[0], fleet.now);
    for known in fleet.tables[0].known_runs(fleet.now) {
        newcomer.record_known(&known, fleet.now);
    }
    assert!(newcomer.standing(guilty, fleet.now).is_refused());
    assert_eq!(
        newcomer.standing(cleared, fleet.now),
        RequestStanding::Clear
    );
}

/// Guards against a refusal that each daemon that starts takes for new, so that it never ends in a fleet
/// whose daemons restart in turn.
#[test]
fn newcomers_prolong_nothing() {
    let mut fleet = Fleet::open(1);
    let guilty = digest("crew", "/a");
    for _ in 0..3 {
        fleet.end(0, &[guilty]);
    }
    for _ in 0..3 {
        fleet.now = fleet.now.after(Duration::from_secs(199)).time();
        let mut newcomer = SuspectTable::open(RULES);
        for known in fleet.tables[0].known_runs(fleet.now) {
            newcomer.record_known(&known, fleet.now);
        }
        assert!(newcomer.standing(guilty, fleet.now).is_refused());
        fleet.tables = vec![newcomer];
    }
    fleet.now = fleet.now.after(Duration::from_secs(4)).time();
    assert_eq!(fleet.standing(guilty), RequestStanding::Clear);
}

/// Guards against a refusal that never ends, and against one that ends while the request goes on.
#[test]
fn refusal_lapses() {
    let mut fleet = Fleet::open(1);
    let guilty = digest("crew", "/a");
    for _ in 0..3 {
        fleet.end(0, &[guilty]);
        fleet.now = fleet.now.after(Duration::from_secs(500)).time();
    }
    assert!(fleet.standing(guilty).is_refused());
    fleet.now = fleet.now.after(Duration::from_secs(101)).time();
    assert_eq!(fleet.standing(guilty), RequestStanding::Clear);
}

/// Guards against an account that fills the table with ten thousand such requests, so that those of
/// others are forgotten.
#[test]
fn flood_displaces_own() {
    let mut fleet = Fleet::open(1);
    let guilty = digest("crew", "/a");
    for _ in 0..3 {
        fleet.end(0, &[guilty]);
    }
    for number in 0..10_000 {
        fleet.end(0, &[digest("flood", &format!("/{number}"))]);
    }
    assert!(fleet.standing(guilty).is_refused());
    let suspects = fleet.tables[0].suspects(fleet.now);
    assert_eq!(suspects.len(), MAX_ACCOUNT_SUSPECTS + 1);
    for number in 0..10_000 {
        let account = format!("flood-{}", number % 100);
        fleet.end(0, &[digest(&account, &format!("/{number}"))]);
    }
    assert!(fleet.tables[0].suspects(fleet.now).len() <= MAX_SUSPECTS);
    assert!(fleet.standing(guilty).is_refused());
}

/// Guards against suspicions where the operator has turned them off.
#[test]
fn no_limit_no_suspects() {
    let mut table = SuspectTable::open(CrashRules { limit: 0, ..RULES });
    let now = MonoTime::from_millis(1);
    let request = digest("crew", "/a");
    for report in table.reports_of_end(&[request], now) {
        assert!(table.record(&report, now).is_none());
    }
    assert!(table.is_empty());
}

/// Guards against requests that differ and count as the same, and against a digest that operators
/// cannot copy from a log line.
#[test]
fn digests_differ() {
    let account: AccountId = "crew".parse().unwrap();
    let open = |method, host, target, body: &[u8]| {
        RequestDigest::open(&account, method, host, target, body)
    };
    let base = open("GET", None, "/a", b"x");
    assert_eq!(base, open("GET", None, "/a", b"x"));
    assert_ne!(base, open("PUT", None, "/a", b"x"));
    assert_ne!(base, open("GET", Some("a.example"), "/a", b"x"));
    assert_ne!(base, open("GET", None, "/a?b", b"x"));
    assert_ne!(base, open("GET", None, "/a", b"y"));
    assert_ne!(
        open("GET", None, "/ab", b"x"),
        open("GET", None, "/a", b"bx")
    );
    assert_ne!(base.account, digest("other", "/a").account);
    assert_eq!(base.to_string().parse::<RequestDigest>().unwrap(), base);
    assert!("x".parse::<RequestDigest>().is_err());
}
