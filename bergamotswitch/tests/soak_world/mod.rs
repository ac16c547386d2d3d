//! A site whose hosts are real processes, with relays before the store and the
//! targets, on which faults come in series and overlap.

mod callers;
mod judge;
mod plan;
mod standstill;
mod stops;
mod work;

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bergamotswitch_standin::users_store::{StoreMood, UsersStore};
use bergamotswitch_standin::users_target::UsersTarget;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::sleep;

use crate::relay::{Flow, Relay};
use crate::users::{self, HostProcess, KEY, SiteOptions, start_host_with};
use callers::{CallRecord, SECOND_KEY, run_caller};
use plan::{RunPlan, SiteFault, TimedFault};
use standstill::StandstillWatch;
use stops::HostStop;

/// The targets of a run: two of each service. A stream has so many events, one
/// each 15 ms.
const TARGETS: usize = 4;
const EVENTS: u32 = 8;
const EVENT_GAP: Duration = Duration::from_millis(15);
/// The callers for each host.
const CALLERS_PER_HOST: u64 = 4;
/// How long a draining target stays registered, and then is away.
const DRAIN_TIME: Duration = Duration::from_secs(3);
const AWAY_TIME: Duration = Duration::from_secs(1);
/// How long after its start a target registers.
const REGISTER_TIME: Duration = Duration::from_millis(100);
/// The longest time from SIGTERM to the end of the process: the grace in the
/// hosts' settings, and a second for a busy machine.
const STOP_BOUND: Duration = Duration::from_secs(9);
/// How long a process that has ended stays away.
const DOWN_TIME: Duration = Duration::from_millis(400);
/// The time after the last fault in which everything has to be back, and that
/// in which callers then are served.
const RECOVERY: Duration = Duration::from_secs(6);
const SERVED_TIME: Duration = Duration::from_secs(2);

/// A `FaultSpan` is a span in which a host, a target or the store was disturbed,
/// or a key was taken away; without an end while it goes on.
#[derive(Clone, Copy, Debug)]
struct FaultSpan {
    from: Instant,
    until: Option<Instant>,
}

/// An `AddedRoute` is a route that was published in the run.
pub struct AddedRoute {
    prefix: String,
    published: Instant,
}

/// A `TargetLeave` is a target's leaving, and its return.
#[derive(Clone, Copy, Debug)]
struct TargetLeave {
    target: usize,
    from: Instant,
    until: Option<Instant>,
}

struct WorldHost {
    process: RefCell<HostProcess>,
    store_way: Relay,
    /// Whether the next end of its process is wanted.
    ends: Cell<bool>,
    disturbed: RefCell<Vec<FaultSpan>>,
}

struct WorldTarget {
    target: UsersTarget,
    service: &'static str,
    relay: Relay,
    address: SocketAddr,
    disturbed: RefCell<Vec<FaultSpan>>,
}

/// A `SoakWorld` is a site under faults.
pub struct SoakWorld {
    pub seed: u64,
    planned: bool,
    /// The time from SIGTERM to SIGKILL, in runs with long work.
    grace: Option<Duration>,
    times: SiteOptions,
    /// Whether callers ask for long work now.
    has_long_work: Cell<bool>,
    stops: RefCell<Vec<HostStop>>,
    store: UsersStore,
    hosts: Vec<WorldHost>,
    doors: Vec<SocketAddr>,
    targets: Vec<WorldTarget>,
    version: Cell<u64>,
    has_second_key: Cell<bool>,
    routes: RefCell<Vec<AddedRoute>>,
    revocations: RefCell<Vec<FaultSpan>>,
    leavings: RefCell<Vec<TargetLeave>>,
    store_disturbed: RefCell<Vec<FaultSpan>>,
    calls: RefCell<Vec<CallRecord>>,
    problems: RefCell<Vec<String>>,
    callers_end: Cell<bool>,
    keepers_end: Cell<bool>,
    calm_from: Cell<Option<Instant>>,
}

/// What a run showed.
pub struct RunOutcome {
    pub calls: usize,
    pub served: usize,
    /// The calls that reached a host after its SIGTERM, and those served.
    pub at_stops: usize,
    pub served_at_stops: usize,
    pub problems: Vec<String>,
    /// The longest time for which the test got no processor.
    pub stood_still: Duration,
    pub faults: Vec<String>,
}

/// Play a seed with so many hosts.
pub fn play(seed: u64, hosts: usize) -> RunOutcome {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = runtime.expect("runtime");
    LocalSet::new().block_on(&runtime, async move {
        let plan = plan::plan(seed, hosts, TARGETS);
        let world = SoakWorld::start(seed, hosts, &plan).await;
        world.run(plan.faults).await
    })
}

impl SoakWorld {
    async fn start(seed: u64, count: usize, plan: &RunPlan) -> Rc<Self> {
        let store = UsersStore::start().await.expect("store");
        let mut targets = Vec::new();
        for number in 0..TARGETS {
            let (service, events) = match number % 2 {
                0 => ("drafting", EVENTS),
                _ => ("desk", 0),
            };
            let name = format!("{service}-{number}");
            let target = UsersTarget::start(&name, events, EVENT_GAP).await;
            let target = target.expect("target");
            let (relay, address) = Relay::start_on_free_port(target.address());
            targets.push(WorldTarget {
                relay,
                target,
                service,
                address,
                disturbed: RefCell::default(),
            });
        }
        let mut hosts: Vec<WorldHost> = Vec::new();
        let times = plan.grace.map(work::site_times).unwrap_or_default();
        for number in 0..count {
            let (store_way, way) = Relay::start_on_free_port(store.address());
            let seed = hosts.first().map(|host| host.process.borrow().link);
            hosts.push(WorldHost {
                process: RefCell::new(start_host_with(number, seed, way, times.grace)),
                store_way,
                ends: Cell::new(false),
                disturbed: RefCell::default(),
            });
        }
        let doors = hosts.iter().map(|host| host.process.borrow().callers);
        let doors = doors.collect();
        let world = Rc::new(SoakWorld {
            seed,
            planned: plan.planned,
            grace: plan.grace,
            times,
            has_long_work: Cell::new(plan.grace.is_some()),
            stops: RefCell::default(),
            store,
            hosts,
            doors,
            targets,
            version: Cell::new(0),
            has_second_key: Cell::new(true),
            routes: RefCell::default(),
            revocations: RefCell::default(),
            leavings: RefCell::default(),
            store_disturbed: RefCell::default(),
            calls: RefCell::default(),
            problems: RefCell::default(),
            callers_end: Cell::new(false),
            keepers_end: Cell::new(false),
            calm_from: Cell::new(None),
        });
        world.publish();
        for target in &world.targets {
            world.register(target, "ready");
        }
        world
    }

    async fn run(self: Rc<Self>, faults: Vec<TimedFault>) -> RunOutcome {
        self.all_ready("at the start").await;
        let watch = StandstillWatch::begin();
        let texts = faults.iter().map(|fault| format!("{fault:?}")).collect();
        let callers: Vec<_> = (0..CALLERS_PER_HOST * self.hosts.len() as u64)
            .map(|number| spawn_local(run_caller(Rc::clone(&self), number)))
            .collect();
        let keepers: Vec<_> = (0..self.hosts.len())
            .map(|host| spawn_local(Rc::clone(&self).keep(host)))
            .collect();
        let played: Vec<_> = faults
            .into_iter()
            .map(|fault| spawn_local(Rc::clone(&self).strike(fault)))
            .collect();
        for task in played {
            task.await.expect("a fault is played");
        }
        self.has_long_work.set(false);
        self.all_ready("after the faults").await;
        sleep(RECOVERY).await;
        self.calm_from.set(Some(Instant::now()));
        sleep(SERVED_TIME).await;
        self.callers_end.set(true);
        for task in callers {
            task.await.expect("a caller ends");
        }
        self.keepers_end.set(true);
        for task in keepers {
            task.await.expect("a keeper ends");
        }
        let problems = judge::problems(&self);
        let calls = self.calls.borrow();
        let served = |calls: &[&CallRecord]| {
            let served = calls.iter().filter(|call| judge::is_served(call));
            served.count()
        };
        let at_stops = self.calls_at_stops(&calls);
        RunOutcome {
            calls: calls.len(),
            served: served(&calls.iter().collect::<Vec<_>>()),
            at_stops: at_stops.len(),
            served_at_stops: served(&at_stops),
            problems,
            stood_still: watch.longest(),
            faults: texts,
        }
    }

    fn note_call(&self, call: CallRecord) {
        self.calls.borrow_mut().push(call);
    }

    fn problem(&self, text: String) {
        self.problems.borrow_mut().push(text);
    }

    /// Wait until all hosts are ready and know each other.
    async fn all_ready(&self, when: &str) {
        let until = Instant::now() + users::WAIT_TIMEOUT;
        loop {
            let mut ready = true;
            for host in &self.hosts {
                let address = host.process.borrow().readiness;
                ready &= users::is_ready(address).await;
            }
            if ready {
                return;
            }
            if Instant::now() > until {
                self.problem(format!("RECOVER: not all hosts are ready {when}"));
                return;
            }
            sleep(Duration::from_millis(50)).await;
        }
    }

    fn publish(&self) {
        self.version.set(self.version.get() + 3);
        let keys: &[&str] = match self.has_second_key.get() {
            true => &[KEY, SECOND_KEY],
            false => &[KEY],
        };
        let routes = self.routes.borrow();
        let more: Vec<&str> = routes.iter().map(|route| route.prefix.as_str()).collect();
        let (store, version) = (&self.store, self.version.get());
        users::publish_with(store, version, keys, &more, &self.times);
    }

    fn register(&self, target: &WorldTarget, state: &str) {
        let (service, address) = (target.service, target.address);
        users::register(&self.store, service, &target.target, address, state);
    }

    /// Let a fault happen, and heal it.
    async fn strike(self: Rc<Self>, timed: TimedFault) {
        sleep(timed.at).await;
        match timed.fault {
            SiteFault::Kill { host } => {
                let _guard = DisturbanceGuard::new(&self.hosts[host].disturbed);
                self.hosts[host].ends.set(true);
                self.signal(host, "KILL");
                sleep(DOWN_TIME * 2).await;
            }
            SiteFault::Pause { host, span } => {
                let _guard = DisturbanceGuard::new(&self.hosts[host].disturbed);
                self.signal(host, "STOP");
                sleep(span).await;
                self.signal(host, "CONT");
            }
            SiteFault::Stop { host } => match self.grace {
                Some(grace) => self.stop_within(host, grace).await,
                None => self.stop(host).await,
            },
            SiteFault::Reload { host } => self.signal(host, "HUP"),
            SiteFault::Store { mood, span } => {
                let _guard = DisturbanceGuard::new(&self.store_disturbed);
                self.store.set_mood(mood);
                sleep(span).await;
                self.store.set_mood(StoreMood::Well);
            }
            SiteFault::Compact => {
                let _guard = DisturbanceGuard::new(&self.store_disturbed);
                self.store.compact();
            }
            SiteFault::StoreWay { host, flow, span } => {
                let _guard = DisturbanceGuard::new(&self.hosts[host].disturbed);
                self.hosts[host].store_way.set(flow);
                sleep(span).await;
                self.hosts[host].store_way.set(Flow::Both);
            }
            SiteFault::TargetWay { target, flow, span } => {
                let _guard = DisturbanceGuard::new(&self.targets[target].disturbed);
                self.targets[target].relay.set(flow);
                sleep(span).await;
                self.targets[target].relay.set(Flow::Both);
            }
            SiteFault::Target {
                target,
                mood,
                calls,
            } => {
                let _guard = DisturbanceGuard::new(&self.targets[target].disturbed);
                self.targets[target].target.expect(&vec![mood; calls]);
                sleep(Duration::from_secs(1)).await;
            }
            SiteFault::Revoke { span } => self.revoke(span).await,
            SiteFault::RevokeUnseen { span } => {
                let _guard = DisturbanceGuard::new(&self.store_disturbed);
                self.store.set_mood(StoreMood::Silent);
                self.revoke(span).await;
                self.store.set_mood(StoreMood::Well);
            }
            SiteFault::Route => self.add_route(),
            SiteFault::Drain { target } => self.drain(target).await,
            SiteFault::Restart { target } => self.restart(target).await,
            SiteFault::Foreign { target, bytes } => self.overwrite(target, bytes).await,
        }
    }

    /// Signal a host's process. One that has ended meanwhile takes no signal,
    /// and needs none.
    fn signal(&self, host: usize, name: &str) {
        let _ = self.hosts[host].process.borrow().child.try_signal(name);
    }

    async fn stop(&self, host: usize) {
        let began = Instant::now();
        let calm = !self.is_disturbed(host, began, began);
        self.hosts[host].ends.set(true);
        self.signal(host, "TERM");
        let _guard = DisturbanceGuard::new(&self.hosts[host].disturbed);
        while self.hosts[host].ends.get() {
            sleep(Duration::from_millis(20)).await;
            let now = Instant::now();
            if now > began + STOP_BOUND {
                // One that was paused meanwhile takes longer.
                if calm && self.planned {
                    self.problem(format!("LOST: host {host} does not end its stop"));
                }
                self.signal(host, "KILL");
            }
        }
    }

    async fn revoke(&self, span: Duration) {
        if !self.has_second_key.replace(false) {
            return;
        }
        self.publish();
        let from = Instant::now();
        let index = self.revocations.borrow().len();
        let until = None;
        self.revocations
            .borrow_mut()
            .push(FaultSpan { from, until });
        sleep(span + Duration::from_millis(users::REVOKE_MS)).await;
        self.has_second_key.set(true);
        self.revocations.borrow_mut()[index].until = Some(Instant::now());
        self.publish();
    }

    fn add_route(&self) {
        let prefix = format!("/added-{}/", self.routes.borrow().len());
        let published = Instant::now();
        let route = AddedRoute { prefix, published };
        self.routes.borrow_mut().push(route);
        self.publish();
    }

    /// Get whether a target may leave: the last one of a service stays.
    fn may_leave(&self, target: &WorldTarget) -> bool {
        let leavings = self.leavings.borrow();
        let mut gone = leavings.iter().filter(|leaving| leaving.until.is_none());
        gone.all(|leaving| self.targets[leaving.target].service != target.service)
    }

    async fn drain(&self, index: usize) {
        let target = &self.targets[index];
        if !self.may_leave(target) {
            return;
        }
        self.register(target, "draining");
        let place = self.note_leave(index);
        sleep(DRAIN_TIME).await;
        let key = format!("servers/{}", target.target.name());
        self.store.remove(&key);
        sleep(AWAY_TIME).await;
        self.leavings.borrow_mut()[place].until = Some(Instant::now());
        self.register(target, "ready");
    }

    /// Let a target start again under its name; it registers a little later.
    async fn restart(&self, index: usize) {
        let target = &self.targets[index];
        let _guard = DisturbanceGuard::new(&target.disturbed);
        target.target.restart();
        sleep(REGISTER_TIME).await;
        if !self.is_away(index) {
            self.register(target, "ready");
        }
    }

    /// Let another writer write over a target's entry, which then names none.
    async fn overwrite(&self, index: usize, bytes: &'static str) {
        let target = &self.targets[index];
        if !self.may_leave(target) {
            return;
        }
        let key = format!("servers/{}", target.target.name());
        self.store.put_bytes(&key, bytes.into());
        let place = self.note_leave(index);
        sleep(DRAIN_TIME + AWAY_TIME).await;
        self.leavings.borrow_mut()[place].until = Some(Instant::now());
        self.register(target, "ready");
    }

    /// Get whether a target is leaving or away.
    fn is_away(&self, index: usize) -> bool {
        let leavings = self.leavings.borrow();
        let mut open = leavings.iter().filter(|leaving| leaving.until.is_none());
        open.any(|leaving| leaving.target == index)
    }

    fn note_leave(&self, index: usize) -> usize {
        let mut leavings = self.leavings.borrow_mut();
        leavings.push(TargetLeave {
            target: index,
            from: Instant::now(),
            until: None,
        });
        leavings.len() - 1
    }

    /// Start a host again whenever its process ends.
    async fn keep(self: Rc<Self>, index: usize) {
        let host = &self.hosts[index];
        while !self.keepers_end.get() {
            sleep(Duration::from_millis(20)).await;
            let Some(status) = host.process.borrow_mut().child.exit_status() else {
                continue;
            };
            let _guard = DisturbanceGuard::new(&host.disturbed);
            if !host.ends.replace(false) {
                self.problem(format!("host {index} ended by itself: {status}"));
            }
            sleep(DOWN_TIME).await;
            host.process.borrow_mut().child.restart();
        }
    }

    /// Get whether a host was disturbed in a span.
    fn is_disturbed(&self, host: usize, from: Instant, until: Instant) -> bool {
        overlaps(&self.hosts[host].disturbed.borrow(), from, until)
    }
}

/// A `DisturbanceGuard` is a span that goes on until it is dropped.
struct DisturbanceGuard<'a> {
    list: &'a RefCell<Vec<FaultSpan>>,
    index: usize,
}

impl<'a> DisturbanceGuard<'a> {
    fn new(list: &'a RefCell<Vec<FaultSpan>>) -> Self {
        let index = list.borrow().len();
        let from = Instant::now();
        list.borrow_mut().push(FaultSpan { from, until: None });
        DisturbanceGuard { list, index }
    }
}

impl Drop for DisturbanceGuard<'_> {
    fn drop(&mut self) {
        self.list.borrow_mut()[self.index].until = Some(Instant::now());
    }
}

fn overlaps(list: &[FaultSpan], from: Instant, until: Instant) -> bool {
    list.iter().any(|disturbance| {
        let ends = disturbance.until;
        disturbance.from <= until && ends.is_none_or(|ends| ends >= from)
    })
}
