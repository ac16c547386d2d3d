//! Tests of hosts that lose their paths to the targets while callers and the other hosts
//! still reach them.

mod quota_fleet;

use bergamotswitch_core::entry::EntryOptions;
use bergamotswitch_core::pool_owner::OwnerOptions;
use quota_fleet::*;

const TARGETS: usize = 18;
const SLOTS: u32 = 4;

/// The shortest and the longest interval between probes of a failed target.
const PROBES: (Duration, Duration) = (Duration::from_millis(250), Duration::from_secs(2));

/// How long a cut lasts before its effect is judged.
const CONTACT: Duration = Duration::from_secs(3);

fn start() -> QuotaFleet {
    let latency = Duration::from_millis(2);
    let owner = OwnerOptions::default().with_probe_interval(PROBES.0, PROBES.1);
    let entry = EntryOptions::default();
    let mut fleet = QuotaFleet::start_with_owners((TARGETS, SLOTS), latency, entry, owner);
    fleet.fails_every = u64::MAX;
    fleet.pass(Duration::from_secs(2), load);
    fleet
}

/// Send 200 calls a second, of accounts within their quotas, to all hosts in turn.
fn load(fleet: &mut QuotaFleet) {
    let number = fleet.now.as_micros() / 5_000;
    let account = ["busy", "calm", "late"][number as usize % 3];
    fleet.send(account, 1);
}

/// A `Shares` is how many calls were sent and answered at hosts cut off and at others.
#[derive(Debug)]
struct Shares {
    cut: (usize, usize),
    sound: (usize, usize),
}

impl Shares {
    /// Count the calls sent from `since` until `until`.
    fn between(fleet: &QuotaFleet, since: Moment, until: Moment) -> Self {
        let mut shares = Shares {
            cut: (0, 0),
            sound: (0, 0),
        };
        let sent = |call: &&CallRecord| call.sent_at >= since && call.sent_at < until;
        for call in fleet.calls.values().filter(sent) {
            let side = match fleet.cut.contains(&call.host) {
                true => &mut shares.cut,
                false => &mut shares.sound,
            };
            side.0 += 1;
            side.1 += usize::from(call.answered);
        }
        shares
    }

    /// Assert that callers of hosts cut off are served two thirds as often as others, or
    /// that no more than 10 + 1 in 50 of all fail there.
    fn assert_alike(&self, case: &str) {
        let share = |(sent, answered): (usize, usize)| answered as f64 / sent.max(1) as f64;
        let failed = self.cut.0 - self.cut.1;
        let allowed = 10 + (self.cut.0 + self.sound.0) / 50;
        let alike = share(self.cut) >= share(self.sound) * 2.0 / 3.0;
        assert!(alike || failed <= allowed, "{case}: {self:?}");
    }

    /// Assert that callers of the other hosts lose nothing.
    fn assert_sound_served(&self, case: &str) {
        let lost = self.sound.0 - self.sound.1;
        assert!(lost <= self.sound.0 / 50, "{case}: {self:?}");
    }
}

/// Cut these hosts off for some seconds under load, and check what all callers get.
fn check_cut(fleet: &mut QuotaFleet, hosts: &[usize], way: CutWay, case: &str) {
    fleet.cut_off(hosts, way);
    fleet.pass(CONTACT, load);
    let since = fleet.now;
    fleet.pass(Duration::from_secs(6), load);
    let until = fleet.now;
    fleet.pass(Duration::from_secs(2), load);
    let shares = Shares::between(fleet, since, until);
    shares.assert_alike(case);
    shares.assert_sound_served(case);
}

/// Guards against hosts without a path to the targets whose callers are refused, and
/// whose failures take the targets away from all other hosts.
#[test]
fn some_hosts() {
    for way in [CutWay::Silent, CutWay::Refusing] {
        let mut fleet = start();
        let owner = fleet.owner();
        let others: Vec<usize> = (0..HOSTS).filter(|host| *host != owner).collect();
        check_cut(
            &mut fleet,
            &others[..3],
            way,
            &format!("three hosts, {way:?}"),
        );
    }
}

/// Guards against a shard's owner without a path to the targets.
#[test]
fn with_owner() {
    for way in [CutWay::Silent, CutWay::Refusing] {
        let mut fleet = start();
        let owner = fleet.owner();
        check_cut(&mut fleet, &[owner], way, &format!("owner, {way:?}"));
    }
}

/// Guards against a fleet in which few hosts are left that reach the targets.
#[test]
fn most_hosts() {
    for way in [CutWay::Silent, CutWay::Refusing] {
        let mut fleet = start();
        check_cut(
            &mut fleet,
            &[0, 1, 2, 3, 4, 5],
            way,
            &format!("six hosts, {way:?}"),
        );
    }
}

/// Guards against a failure domain whose hosts have no path to the targets.
#[test]
fn whole_domain() {
    for way in [CutWay::Silent, CutWay::Refusing] {
        let mut fleet = start();
        check_cut(&mut fleet, &[0, 3, 6], way, &format!("domain, {way:?}"));
    }
}

/// Guards against hosts that keep using tunnels after their paths are back.
#[test]
fn paths_restored() {
    for way in [CutWay::Silent, CutWay::Refusing] {
        let mut fleet = start();
        fleet.cut_off(&[1, 4, 6], way);
        fleet.pass(Duration::from_secs(8), load);
        fleet.heal_paths();
        fleet.pass(CONTACT, load);
        let since = fleet.now;
        let refused = fleet.refused_calls();
        fleet.pass(Duration::from_secs(5), load);
        assert_eq!(fleet.tunnel_runs_since(since), 0, "{way:?}");
        assert_eq!(fleet.refused_calls(), refused, "{way:?}");
    }
}

/// Guards against a fleet that stays without targets after all hosts lost their paths.
#[test]
fn all_hosts() {
    for way in [CutWay::Silent, CutWay::Refusing] {
        let mut fleet = start();
        fleet.cut_off(&[0, 1, 2, 3, 4, 5, 6, 7], way);
        fleet.pass(Duration::from_secs(8), load);
        fleet.heal_paths();
        fleet.pass(CONTACT, load);
        let since = fleet.now;
        fleet.pass(Duration::from_secs(5), load);
        let until = fleet.now;
        fleet.pass(Duration::from_secs(2), load);
        let shares = Shares::between(&fleet, since, until);
        shares.assert_sound_served(&format!("{way:?}"));
    }
}

/// Guards against paths that come and go.
#[test]
fn flapping_paths() {
    for way in [CutWay::Silent, CutWay::Refusing] {
        let mut fleet = start();
        let hosts = [1, 4, 6];
        fleet.cut_off(&hosts, way);
        fleet.pass(CONTACT, load);
        let since = fleet.now;
        for _ in 0..5 {
            fleet.heal_paths();
            fleet.pass(Duration::from_millis(1_100), load);
            fleet.cut_off(&hosts, way);
            fleet.pass(Duration::from_millis(900), load);
        }
        let until = fleet.now;
        fleet.pass(Duration::from_secs(2), load);
        let shares = Shares::between(&fleet, since, until);
        shares.assert_alike(&format!("{way:?}"));
        shares.assert_sound_served(&format!("{way:?}"));
    }
}

/// Guards against calls that depend on one host whose tunnels are used and that ends or
/// stands still.
#[test]
fn tunnel_host_lost() {
    for pauses in [true, false] {
        let mut fleet = start();
        fleet.cut_off(&[0, 1, 2], CutWay::Silent);
        fleet.pass(CONTACT, load);
        let (_, used) = *fleet.tunnel_runs.last().expect("a run through a tunnel");
        match pauses {
            true => fleet.pause(used),
            false => fleet.end(used),
        }
        fleet.pass(CONTACT, |fleet| fleet.send_avoiding(used, "busy"));
        let since = fleet.now;
        fleet.pass(Duration::from_secs(5), |fleet| {
            fleet.send_avoiding(used, "busy");
        });
        let until = fleet.now;
        fleet.pass(Duration::from_secs(2), |_| {});
        let shares = Shares::between(&fleet, since, until);
        shares.assert_alike(&format!("pauses {pauses}"));
    }
}

/// Guards against targets that nobody reaches and that stay in use because of tunnels.
#[test]
fn dead_targets() {
    let mut fleet = start();
    fleet.unreachable = (0..4).map(|number| format!("t{number}")).collect();
    fleet.pass(CONTACT, load);
    let failures = fleet.connect_failures.len();
    let refused = fleet.refused_calls();
    fleet.pass(Duration::from_secs(10), load);
    assert_eq!(
        fleet.refused_calls(),
        refused,
        "refused beside sound targets"
    );
    let tried = fleet.connect_failures.len() - failures;
    assert!(tried < 500, "{tried} connections to dead targets");
}
