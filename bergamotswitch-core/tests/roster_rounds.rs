//! Tests of host discovery by rosters, in virtual time.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use bergamotswitch_core::clock::Moment;
use bergamotswitch_core::host::{EntryHost, Standing};
use bergamotswitch_core::roster::{MemberFlags, Roster, RosterMessage};

const STEP_MS: u64 = 20;
/// A time of day in milliseconds.
const DAY_START: u64 = 1_790_000_000_000;

fn address(index: usize) -> SocketAddr {
    ([10, 0, (index / 250) as u8, (index % 250) as u8], 9_000).into()
}

fn entry(index: usize) -> EntryHost {
    EntryHost {
        name: format!("front-{index:03}").try_into().expect("name"),
        domain: format!("hall-{}", index % 3).try_into().expect("name"),
        caller_address: address(index),
        link_address: address(index),
        capacity: 250,
        standing: Standing::Live,
    }
}

/// A `Fleet` is a set of hosts with a network that loses only what is cut.
struct Fleet {
    rosters: BTreeMap<usize, Roster>,
    cut: Box<dyn Fn(usize, usize) -> bool>,
    /// The host whose process is paused; messages to it are queued.
    paused: Option<usize>,
    queued: Vec<RosterMessage>,
    now_ms: u64,
    messages: usize,
}

impl Fleet {
    fn new(count: usize) -> Self {
        let mut fleet = Fleet {
            rosters: BTreeMap::new(),
            cut: Box::new(|_, _| false),
            paused: None,
            queued: Vec::new(),
            now_ms: 0,
            messages: 0,
        };
        for index in 0..count {
            fleet.start(index, DAY_START);
        }
        fleet
    }

    fn start(&mut self, index: usize, started_at: u64) {
        let seeds = vec![address(0), address(1), address(2)];
        let seed = index as u64 + started_at;
        let mut roster = Roster::new(entry(index), seeds, started_at, seed);
        let flags = MemberFlags {
            ready: true,
            leaving: false,
        };
        roster.set_flags(self.now(), flags);
        self.rosters.insert(index, roster);
    }

    fn now(&self) -> Moment {
        Moment::from_millis(self.now_ms)
    }

    fn run(&mut self, span: Duration) {
        let end = self.now_ms + span.as_millis() as u64;
        while self.now_ms < end {
            self.now_ms += STEP_MS;
            let now = self.now();
            let mut sent: Vec<(usize, SocketAddr, RosterMessage)> = Vec::new();
            let paused = self.paused;
            let awake = self.rosters.iter_mut();
            for (index, roster) in awake.filter(|(index, _)| Some(**index) != paused) {
                for action in roster.tick(now) {
                    sent.push((*index, action.to, action.message));
                }
            }
            while let Some((from, to, message)) = sent.pop() {
                self.messages += 1;
                let recipient = self.rosters.keys().copied().find(|i| address(*i) == to);
                let Some(recipient) = recipient.filter(|recipient| !(self.cut)(from, *recipient))
                else {
                    continue;
                };
                if Some(recipient) == paused {
                    self.queued.push(message);
                    continue;
                }
                let roster = self.rosters.get_mut(&recipient).expect("listed");
                for action in roster.handle(now, message) {
                    sent.push((recipient, action.to, action.message));
                }
            }
        }
    }

    /// Resume the paused host, and get how many hosts it knows before it
    /// reads its socket: its timer fires first.
    fn resume(&mut self) -> usize {
        let now = self.now();
        let index = self.paused.take().expect("a paused host");
        let roster = self.rosters.get_mut(&index).expect("listed");
        roster.tick(now);
        let known = roster.hosts(now).hosts.len();
        for message in self.queued.drain(..) {
            roster.handle(now, message);
        }
        known
    }

    fn known(&self, index: usize) -> usize {
        self.rosters[&index].hosts(self.now()).hosts.len()
    }

    fn all_know(&self, count: usize) -> bool {
        self.rosters.keys().all(|index| self.known(*index) == count)
    }
}

#[test]
fn large_fleet() {
    let mut fleet = Fleet::new(81);
    fleet.run(Duration::from_millis(2_500));
    assert!(fleet.all_know(81));
    // The number of messages per host is independent of the fleet size: two per
    // round, and two more in every fourth round.
    fleet.messages = 0;
    fleet.run(Duration::from_secs(10));
    let each = fleet.messages as f64 / 81.0 / 10.0;
    assert!(each < 9.0, "{each} messages a second");
    assert!(fleet.all_know(81));
}

// Guards against failed hosts, seeds among them, that still count as live.
#[test]
fn dead_hosts() {
    let mut fleet = Fleet::new(20);
    fleet.run(Duration::from_secs(3));
    for index in 0..3 {
        fleet.rosters.remove(&index);
    }
    fleet.run(Duration::from_secs(5));
    assert!(fleet.all_know(17));
}

// Guards against two halves of a fleet that stay apart after a partition during
// which all seeds failed.
#[test]
fn healed_cut() {
    let mut fleet = Fleet::new(20);
    fleet.run(Duration::from_secs(3));
    fleet.cut = Box::new(|from, to| from % 2 != to % 2);
    fleet.run(Duration::from_secs(30));
    for index in 0..3 {
        fleet.rosters.remove(&index);
    }
    fleet.run(Duration::from_secs(30));
    assert!(fleet.all_know(8) || fleet.all_know(9) || fleet.known(3) < 17);
    fleet.cut = Box::new(|_, _| false);
    fleet.run(Duration::from_secs(10));
    assert!(fleet.all_know(17));
}

// Guards against a restarted host that counts as silent because its clock was
// set back.
#[test]
fn clock_set_back() {
    let mut fleet = Fleet::new(8);
    fleet.run(Duration::from_secs(5));
    // Its own time would start at zero with the new process. All hosts share
    // one time here, so the start of the new incarnation is shifted back by the
    // same amount.
    fleet.rosters.remove(&5);
    fleet.start(5, DAY_START - 60_000);
    fleet.run(Duration::from_secs(3));
    assert!(fleet.all_know(8));
}

#[test]
fn leaving_sent_at_once() {
    let mut fleet = Fleet::new(8);
    fleet.run(Duration::from_secs(3));
    let now = fleet.now();
    let leaving = MemberFlags {
        ready: false,
        leaving: true,
    };
    fleet
        .rosters
        .get_mut(&4)
        .expect("listed")
        .set_flags(now, leaving);
    fleet.run(Duration::from_millis(900));
    let now = fleet.now();
    for (index, roster) in &fleet.rosters {
        let ready = roster.ready_hosts(now);
        assert_eq!(ready.len(), 7, "host {index}");
    }
}

// Guards against a briefly paused host that counts its own pause as
// silence of the others and considers itself alone.
#[test]
fn short_pause() {
    for count in [2, 4, 8] {
        let mut fleet = Fleet::new(count);
        fleet.run(Duration::from_secs(3));
        fleet.paused = Some(1);
        fleet.run(Duration::from_millis(1_800));
        assert_eq!(fleet.known(1), count, "while it is paused");
        assert_eq!(fleet.resume(), count, "after it has resumed");
    }
}

// Guards against a host that keeps counting on a failed one as long as its own
// rounds are late.
#[test]
fn late_rounds() {
    // Twice the silence timeout for eight hosts, and one round.
    const DETECTED_WITHIN: Duration = Duration::from_millis(2 * 2_300);
    for late_ms in [700, 1_200, 3_000] {
        let late = Duration::from_millis(late_ms);
        let mut fleet = Fleet::new(8);
        fleet.run(Duration::from_secs(3));
        fleet.rosters.remove(&2);
        let rounds = DETECTED_WITHIN.as_millis().div_ceil(late.as_millis()) + 1;
        for _ in 0..rounds {
            fleet.paused = Some(1);
            fleet.run(late);
            fleet.resume();
            fleet.run(Duration::from_millis(20));
        }
        assert_eq!(fleet.known(1), 7, "rounds {late_ms} ms late");
    }
}

// Guards against a host with too little CPU time that never detects failures
// because it discounts every late round.
#[test]
fn slow_host() {
    let mut fleet = Fleet::new(8);
    fleet.run(Duration::from_secs(3));
    fleet.rosters.remove(&2);
    for _ in 0..10 {
        fleet.paused = Some(1);
        fleet.run(Duration::from_millis(800));
        fleet.resume();
        fleet.run(Duration::from_millis(20));
    }
    assert_eq!(fleet.known(1), 7);
}
