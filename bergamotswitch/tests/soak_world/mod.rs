//! Provides a test site for soak runs: hosts are real processes, relays stand in
//! front of the store and the targets, and overlapping faults are injected.

mod callers;
mod checks;
mod domains;
mod late_callers;
mod plan;
mod stall;
mod stops;
mod work;

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bergamotswitch_standin::gateway_target::GatewayTargetStandin;
use bergamotswitch_standin::kv_store::{KvStoreStandin, StoreMode};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::sleep;

use crate::relay::{Flow, Relay};
use crate::users::{self, HostProcess, KEY, SiteOptions, start_host_with};
use callers::{CallRecord, SECOND_KEY, run_caller};
use domains::{ColdSpan, EvacuationSpan};
use plan::{RunPlan, SettingChange, SiteFault, TimedFault};
use stall::StallMonitor;
use stops::HostStop;

/// The number of targets in a run, two for each service.
const TARGETS: usize = 4;
/// The number of events in a short stream, sent at intervals of [`EVENT_GAP`].
const EVENTS: u32 = 8;
const EVENT_GAP: Duration = Duration::from_millis(15);
/// The number of callers for each host.
const CALLERS_PER_HOST: u64 = 4;
/// How long a draining target stays registered.
const DRAIN_TIME: Duration = Duration::from_secs(3);
/// How long a drained target stays unregistered.
const ABSENT_TIME: Duration = Duration::from_secs(1);
/// How long after a restart a target registers.
const REGISTER_TIME: Duration = Duration::from_millis(100);
/// The longest time from SIGTERM to process exit: the grace period in the hosts'
/// settings, plus a second for a loaded machine.
const STOP_TIMEOUT: Duration = Duration::from_secs(9);
/// How long a host stays down after its process has exited.
const DOWN_TIME: Duration = Duration::from_millis(400);
/// The same in runs with series of changes, in milliseconds.
const SERIES_DOWN_MS: std::ops::Range<u64> = 200..3_000;
/// How long the site has to recover after the last fault.
const RECOVERY_TIME: Duration = Duration::from_secs(6);
/// How long calls are sent after recovery to check that they are served.
const SERVED_CHECK_TIME: Duration = Duration::from_secs(2);

/// A `FaultSpan` is an interval in which a host, a target or the store was
/// disturbed, or a key was revoked. It has no end while it lasts.
#[derive(Clone, Copy, Debug)]
struct FaultSpan {
    from: Instant,
    until: Option<Instant>,
}

/// An `AddedRoute` is a route that was published during the run.
pub struct AddedRoute {
    prefix: String,
    published: Instant,
    removed: Option<Instant>,
}

/// A `TargetDeparture` is an interval in which a target drains or is unregistered.
#[derive(Clone, Copy, Debug)]
struct TargetDeparture {
    target: usize,
    from: Instant,
    until: Option<Instant>,
}

struct WorldHost {
    process: RefCell<HostProcess>,
    store_relay: Relay,
    /// Whether the next exit of the process is intended by the test.
    expects_exit: Cell<bool>,
    /// The grace period in its settings, and whether it may not have adopted it yet.
    grace: Cell<Duration>,
    adopts_grace: Cell<bool>,
    /// When the process ended, started or did not run.
    interruptions: RefCell<Vec<FaultSpan>>,
    /// When the process was suspended while it stopped.
    pauses: RefCell<Vec<FaultSpan>>,
    /// When the connection to the store was impaired.
    link_faults: RefCell<Vec<FaultSpan>>,
}

struct WorldTarget {
    target: GatewayTargetStandin,
    service: &'static str,
    relay: Relay,
    address: SocketAddr,
    disturbances: RefCell<Vec<FaultSpan>>,
}

/// A `SoakWorld` is the test site of one run and what was recorded there.
pub struct SoakWorld {
    pub seed: u64,
    planned: bool,
    /// The time from SIGTERM to SIGKILL, in runs with long streams.
    grace: Option<Duration>,
    options: SiteOptions,
    /// The timeout of all routes.
    timeout: Cell<Duration>,
    /// One call in this many is long, in runs where most calls are short.
    unlike_one_in: Option<u32>,
    /// Whether callers currently ask for long streams.
    has_long_work: Cell<bool>,
    stops: RefCell<Vec<HostStop>>,
    store: KvStoreStandin,
    hosts: Vec<WorldHost>,
    caller_addresses: Vec<SocketAddr>,
    targets: Vec<WorldTarget>,
    version: Cell<u64>,
    has_second_key: Cell<bool>,
    routes: RefCell<Vec<AddedRoute>>,
    revocations: RefCell<Vec<FaultSpan>>,
    departures: RefCell<Vec<TargetDeparture>>,
    /// When targets said in their answers that they leave.
    notices: RefCell<Vec<TargetDeparture>>,
    evacuations: RefCell<Vec<EvacuationSpan>>,
    cold_spans: RefCell<Vec<ColdSpan>>,
    store_disturbances: RefCell<Vec<FaultSpan>>,
    calls: RefCell<Vec<CallRecord>>,
    problems: RefCell<Vec<String>>,
    callers_stopped: Cell<bool>,
    supervisors_stopped: Cell<bool>,
    recovered_at: Cell<Option<Instant>>,
}

/// A `RunOutcome` is the result of a run.
pub struct RunOutcome {
    pub calls: usize,
    pub served: usize,
    /// The number of calls that were sent to a host after its SIGTERM.
    pub sent_while_stopping: usize,
    /// The number of those calls that were served.
    pub served_while_stopping: usize,
    pub problems: Vec<String>,
    /// The longest time for which the test process was not scheduled.
    pub longest_stall: Duration,
    pub faults: Vec<String>,
}

/// Run a seed with a number of hosts.
pub fn run_seed(seed: u64, hosts: usize) -> RunOutcome {
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
        let store = KvStoreStandin::start().await.expect("store");
        let mut targets = Vec::new();
        for number in 0..TARGETS {
            let (service, events) = match number % 2 {
                0 => ("drafting", EVENTS),
                _ => ("desk", 0),
            };
            let name = format!("{service}-{number}");
            let target = GatewayTargetStandin::start(&name, events, EVENT_GAP).await;
            let target = target.expect("target");
            target.set_zone(domains::domain_of(number));
            let (relay, address) = Relay::start_on_free_port(target.address());
            targets.push(WorldTarget {
                relay,
                target,
                service,
                address,
                disturbances: RefCell::default(),
            });
        }
        let mut hosts: Vec<WorldHost> = Vec::new();
        let options = match (plan.grace, plan.unlike_one_in) {
            (Some(grace), Some(_)) => work::rare_options(grace, count),
            (Some(grace), None) => work::site_options(grace),
            (None, _) => SiteOptions::default(),
        };
        let options = SiteOptions {
            stream_priority: plan.stream_priority,
            ..options
        };
        for number in 0..count {
            let (store_relay, store_address) = Relay::start_on_free_port(store.address());
            let seed = hosts.first().map(|host| host.process.borrow().link);
            hosts.push(WorldHost {
                process: RefCell::new(start_host_with(number, seed, store_address, options.grace)),
                store_relay,
                expects_exit: Cell::new(false),
                grace: Cell::new(options.grace),
                adopts_grace: Cell::new(false),
                interruptions: RefCell::default(),
                pauses: RefCell::default(),
                link_faults: RefCell::default(),
            });
        }
        let caller_addresses = hosts.iter().map(|host| host.process.borrow().callers);
        let caller_addresses = caller_addresses.collect();
        let world = Rc::new(SoakWorld {
            seed,
            planned: plan.planned,
            grace: plan.grace,
            timeout: Cell::new(options.timeout),
            options,
            unlike_one_in: plan.unlike_one_in,
            has_long_work: Cell::new(plan.grace.is_some()),
            stops: RefCell::default(),
            store,
            hosts,
            caller_addresses,
            targets,
            version: Cell::new(0),
            has_second_key: Cell::new(true),
            routes: RefCell::default(),
            revocations: RefCell::default(),
            departures: RefCell::default(),
            notices: RefCell::default(),
            evacuations: RefCell::default(),
            cold_spans: RefCell::default(),
            store_disturbances: RefCell::default(),
            calls: RefCell::default(),
            problems: RefCell::default(),
            callers_stopped: Cell::new(false),
            supervisors_stopped: Cell::new(false),
            recovered_at: Cell::new(None),
        });
        world.publish();
        for target in &world.targets {
            world.register(target, "ready");
        }
        world
    }

    async fn run(self: Rc<Self>, faults: Vec<TimedFault>) -> RunOutcome {
        self.wait_all_ready("at the start").await;
        let monitor = StallMonitor::start();
        let texts = faults.iter().map(|fault| format!("{fault:?}")).collect();
        let callers: Vec<_> = (0..CALLERS_PER_HOST * self.hosts.len() as u64)
            .map(|number| spawn_local(run_caller(Rc::clone(&self), number)))
            .collect();
        let supervisors: Vec<_> = (0..self.hosts.len())
            .map(|host| spawn_local(Rc::clone(&self).supervise(host)))
            .collect();
        let injected: Vec<_> = faults
            .into_iter()
            .map(|fault| spawn_local(Rc::clone(&self).inject_fault(fault)))
            .collect();
        for task in injected {
            task.await.expect("fault injection task");
        }
        self.has_long_work.set(false);
        self.wait_all_ready("after the faults").await;
        sleep(RECOVERY_TIME).await;
        self.recovered_at.set(Some(Instant::now()));
        sleep(SERVED_CHECK_TIME).await;
        self.callers_stopped.set(true);
        for task in callers {
            task.await.expect("caller task");
        }
        self.supervisors_stopped.set(true);
        for task in supervisors {
            task.await.expect("supervisor task");
        }
        let problems = checks::find_problems(&self);
        let calls = self.calls.borrow();
        let served = |calls: &[&CallRecord]| {
            let served = calls.iter().filter(|call| checks::is_served(call));
            served.count()
        };
        let sent_while_stopping = self.calls_while_stopping(&calls);
        RunOutcome {
            calls: calls.len(),
            served: served(&calls.iter().collect::<Vec<_>>()),
            sent_while_stopping: sent_while_stopping.len(),
            served_while_stopping: served(&sent_while_stopping),
            problems,
            longest_stall: monitor.longest(),
            faults: texts,
        }
    }

    fn record_call(&self, call: CallRecord) {
        self.calls.borrow_mut().push(call);
    }

    fn record_problem(&self, text: String) {
        self.problems.borrow_mut().push(text);
    }

    /// Wait until all hosts report readiness; record a problem on timeout.
    async fn wait_all_ready(&self, when: &str) {
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
                self.record_problem(format!("RECOVER: not all hosts are ready {when}"));
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
        let present = routes.iter().filter(|route| route.removed.is_none());
        let more: Vec<&str> = present.map(|route| route.prefix.as_str()).collect();
        let (store, version) = (&self.store, self.version.get());
        let options = SiteOptions {
            timeout: self.timeout.get(),
            ..self.options.clone()
        };
        users::publish_with(store, version, keys, &more, &options);
    }

    fn register(&self, target: &WorldTarget, state: &str) {
        let (service, address) = (target.service, target.address);
        let mut entry = target.target.registration(service, address, state);
        entry["slots"] = self.options.slots.into();
        let key = format!("servers/{}", target.target.name());
        self.store.put(&key, &entry);
    }

    /// Inject a fault at its time, and end it.
    async fn inject_fault(self: Rc<Self>, timed: TimedFault) {
        sleep(timed.at).await;
        match timed.fault {
            SiteFault::Kill { host } => {
                let _guard = DisturbanceGuard::new(&self.hosts[host].interruptions);
                self.hosts[host].expects_exit.set(true);
                self.signal(host, "KILL");
                sleep(DOWN_TIME * 2).await;
            }
            SiteFault::Pause { host, duration } => {
                let _guard = DisturbanceGuard::new(&self.hosts[host].interruptions);
                self.signal(host, "STOP");
                sleep(duration).await;
                self.signal(host, "CONT");
            }
            SiteFault::Stop { host } => match self.grace {
                Some(_) => self.stop_with_grace(host).await,
                None => self.stop(host).await,
            },
            SiteFault::Reload { host } => self.signal(host, "HUP"),
            SiteFault::Store { mode, duration } => {
                let _guard = DisturbanceGuard::new(&self.store_disturbances);
                self.store.set_mode(mode);
                sleep(duration).await;
                self.store.set_mode(StoreMode::Normal);
            }
            SiteFault::Compact => {
                let _guard = DisturbanceGuard::new(&self.store_disturbances);
                self.store.compact();
            }
            SiteFault::StoreLink {
                host,
                flow,
                duration,
            } => {
                let _guard = DisturbanceGuard::new(&self.hosts[host].link_faults);
                self.hosts[host].store_relay.set(flow);
                sleep(duration).await;
                self.hosts[host].store_relay.set(Flow::Both);
            }
            SiteFault::TargetLink {
                target,
                flow,
                duration,
            } => {
                let _guard = DisturbanceGuard::new(&self.targets[target].disturbances);
                self.targets[target].relay.set(flow);
                sleep(duration).await;
                self.targets[target].relay.set(Flow::Both);
            }
            SiteFault::Target {
                target,
                mode,
                calls,
            } => {
                let _guard = DisturbanceGuard::new(&self.targets[target].disturbances);
                self.targets[target]
                    .target
                    .queue_responses(&vec![mode; calls]);
                sleep(Duration::from_secs(1)).await;
            }
            SiteFault::Revoke { duration } => self.revoke(duration).await,
            SiteFault::RevokeDuringOutage { duration } => {
                let _guard = DisturbanceGuard::new(&self.store_disturbances);
                self.store.set_mode(StoreMode::NoResponse);
                self.revoke(duration).await;
                self.store.set_mode(StoreMode::Normal);
            }
            SiteFault::PauseStopping { host, duration } => {
                self.pause_stopping(host, duration).await;
            }
            SiteFault::ReloadChanged { host, change } => self.reload(host, change).await,
            SiteFault::AddRoute => self.add_route(),
            SiteFault::RemoveRoute => self.remove_route(),
            SiteFault::SetTimeout { timeout } => {
                self.timeout.set(timeout);
                self.publish();
            }
            SiteFault::Drain { target } => self.drain(target).await,
            SiteFault::Leave { target, lead } => self.leave(target, lead).await,
            SiteFault::Remove { target } => self.remove(target).await,
            SiteFault::Restart { target } => self.restart(target).await,
            SiteFault::Evacuate {
                domain,
                duration,
                cold,
            } => self.evacuate(domain, duration, cold).await,
            SiteFault::Cold { target } => self.turn_cold(target).await,
            SiteFault::Silence {
                service,
                targets,
                duration,
            } => self.silence(service, targets, duration),
            SiteFault::OverwriteEntry { target, bytes } => self.overwrite(target, bytes).await,
        }
    }

    /// Send a signal to a host's process, if it has not exited already.
    fn signal(&self, host: usize, name: &str) {
        let _ = self.hosts[host].process.borrow().child.try_signal(name);
    }

    /// Send SIGHUP to a host that has started, after a change of its settings.
    async fn reload(&self, host: usize, change: SettingChange) {
        match change {
            SettingChange::Grace(grace) => return self.reload_grace(host, grace).await,
            SettingChange::Seed(seed) => {
                let seed = self.hosts[seed].process.borrow().link;
                users::write_seed(&self.hosts[host].process.borrow().settings, seed);
            }
            SettingChange::Unchanged => {}
        }
        if self.hosts[host].process.borrow().child.has_started() {
            self.signal(host, "HUP");
        }
    }

    async fn stop(&self, host: usize) {
        let began = Instant::now();
        let undisturbed = !self.is_disturbed(host, began, began);
        self.hosts[host].expects_exit.set(true);
        self.signal(host, "TERM");
        let _guard = DisturbanceGuard::new(&self.hosts[host].interruptions);
        while self.hosts[host].expects_exit.get() {
            sleep(Duration::from_millis(20)).await;
            let now = Instant::now();
            if now > began + STOP_TIMEOUT {
                // A process that another fault disturbed may take longer.
                if undisturbed && self.planned {
                    self.record_problem(format!(
                        "LOST: host {host} did not exit in time after SIGTERM"
                    ));
                }
                self.signal(host, "KILL");
            }
        }
    }

    async fn revoke(&self, duration: Duration) {
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
        sleep(duration + Duration::from_millis(users::REVOKE_MS)).await;
        self.has_second_key.set(true);
        self.revocations.borrow_mut()[index].until = Some(Instant::now());
        self.publish();
    }

    /// Let targets of a service stand still. They are sound, so this is no disturbance.
    fn silence(&self, service: usize, count: usize, duration: Duration) {
        let targets = self.targets.iter().skip(service).step_by(2);
        for target in targets.take(count) {
            target.target.fall_silent(duration);
        }
    }

    fn add_route(&self) {
        let prefix = format!("/added-{}/", self.routes.borrow().len());
        let published = Instant::now();
        let route = AddedRoute {
            prefix,
            published,
            removed: None,
        };
        self.routes.borrow_mut().push(route);
        self.publish();
    }

    /// Remove the oldest added route.
    fn remove_route(&self) {
        let mut routes = self.routes.borrow_mut();
        if let Some(route) = routes.iter_mut().find(|route| route.removed.is_none()) {
            route.removed = Some(Instant::now());
            drop(routes);
            self.publish();
        }
    }

    /// Get whether a target may depart: the last one of a service may not.
    fn can_depart(&self, target: &WorldTarget) -> bool {
        let departures = self.departures.borrow();
        let mut departed = departures
            .iter()
            .filter(|departure| departure.until.is_none());
        departed.all(|departure| self.targets[departure.target].service != target.service)
    }

    /// Let a target say in its answers that it leaves, drain it `lead` later, and start it
    /// again after it has left.
    async fn leave(&self, index: usize, lead: Duration) {
        let target = &self.targets[index];
        if !self.can_depart(target) || self.says_leaving(index) {
            return;
        }
        let notice_index = self.notices.borrow().len();
        let notice = TargetDeparture {
            target: index,
            from: Instant::now(),
            until: None,
        };
        self.notices.borrow_mut().push(notice);
        target.target.set_leaving(true);
        sleep(lead).await;
        self.drain(index).await;
        self.notices.borrow_mut()[notice_index].until = Some(Instant::now());
        target.target.set_leaving(false);
        self.restart(index).await;
    }

    /// Get whether a target currently says that it leaves.
    fn says_leaving(&self, index: usize) -> bool {
        let notices = self.notices.borrow();
        let mut open = notices.iter().filter(|notice| notice.until.is_none());
        open.any(|notice| notice.target == index)
    }

    async fn drain(&self, index: usize) {
        let target = &self.targets[index];
        if !self.can_depart(target) {
            return;
        }
        self.register(target, "draining");
        let departure_index = self.record_departure(index);
        sleep(DRAIN_TIME).await;
        let key = format!("servers/{}", target.target.name());
        self.store.remove(&key);
        sleep(ABSENT_TIME).await;
        self.departures.borrow_mut()[departure_index].until = Some(Instant::now());
        self.register(target, "ready");
    }

    /// Remove a target's store entry, and put it back after some time.
    async fn remove(&self, index: usize) {
        let target = &self.targets[index];
        if !self.can_depart(target) {
            return;
        }
        let departure_index = self.record_departure(index);
        let key = format!("servers/{}", target.target.name());
        self.store.remove(&key);
        sleep(DRAIN_TIME + ABSENT_TIME).await;
        self.departures.borrow_mut()[departure_index].until = Some(Instant::now());
        self.register(target, "ready");
    }

    /// Restart a target under its name; it registers after [`REGISTER_TIME`].
    async fn restart(&self, index: usize) {
        let target = &self.targets[index];
        let _guard = DisturbanceGuard::new(&target.disturbances);
        target.target.restart();
        sleep(REGISTER_TIME).await;
        if !self.is_absent(index) {
            self.register(target, "ready");
        }
    }

    /// Overwrite a target's store entry with bytes that are no valid registration.
    async fn overwrite(&self, index: usize, bytes: &'static str) {
        let target = &self.targets[index];
        if !self.can_depart(target) {
            return;
        }
        let key = format!("servers/{}", target.target.name());
        self.store.put_bytes(&key, bytes.into());
        let departure_index = self.record_departure(index);
        sleep(DRAIN_TIME + ABSENT_TIME).await;
        self.departures.borrow_mut()[departure_index].until = Some(Instant::now());
        self.register(target, "ready");
    }

    /// Get whether a target is draining or unregistered.
    fn is_absent(&self, index: usize) -> bool {
        let departures = self.departures.borrow();
        let mut absences = departures
            .iter()
            .filter(|departure| departure.until.is_none());
        absences.any(|departure| departure.target == index)
    }

    fn record_departure(&self, index: usize) -> usize {
        let mut departures = self.departures.borrow_mut();
        departures.push(TargetDeparture {
            target: index,
            from: Instant::now(),
            until: None,
        });
        departures.len() - 1
    }

    /// Restart a host whenever its process exits.
    async fn supervise(self: Rc<Self>, index: usize) {
        let host = &self.hosts[index];
        let mut rng = StdRng::seed_from_u64(self.seed ^ ((index as u64) << 48));
        while !self.supervisors_stopped.get() {
            sleep(Duration::from_millis(20)).await;
            let Some(status) = host.process.borrow_mut().child.exit_status() else {
                continue;
            };
            let _guard = DisturbanceGuard::new(&host.interruptions);
            if !host.expects_exit.replace(false) {
                self.record_problem(format!("host {index} exited unexpectedly: {status}"));
            }
            sleep(match self.unlike_one_in {
                Some(_) => Duration::from_millis(rng.random_range(SERIES_DOWN_MS)),
                None => DOWN_TIME,
            })
            .await;
            host.process.borrow_mut().child.restart();
        }
    }

    /// Get whether a host was disturbed at any time in an interval.
    fn is_disturbed(&self, host: usize, from: Instant, until: Instant) -> bool {
        let links = &self.hosts[host].link_faults;
        self.is_interrupted(host, from, until) || overlaps(&links.borrow(), from, until)
    }

    /// Get whether a host's process did not run at some time in an interval.
    fn is_interrupted(&self, host: usize, from: Instant, until: Instant) -> bool {
        overlaps(&self.hosts[host].interruptions.borrow(), from, until)
    }
}

/// A `DisturbanceGuard` is a recorded [`FaultSpan`] that ends when it is dropped.
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
