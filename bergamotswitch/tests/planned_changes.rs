//! Tests of accepted calls around reloaded settings and changed configurations.

mod users;

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bergamotswitch_standin::gateway_target::event_text;
use http::StatusCode;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use users::host_child::PlannedStop;
use users::{Answer, Call, HOST, HostProcess, KEY, KeptConnection, Site, SiteOptions};

/// The pause before each event of a run.
const EVENT_GAP: Duration = Duration::from_millis(50);
/// The deadline of calls, in milliseconds.
const DEADLINE_MS: &str = "12000";
/// How long before the end of a series a host is stopped.
const STOP_LEAD: Duration = Duration::from_secs(3);
/// The first version of the configurations of these tests.
const FIRST_VERSION: u64 = 10_000;
/// The services of plain calls.
const DESKS: [&str; 2] = ["desk", "desk-b"];

/// A `Plan` is a configuration of the operator.
#[derive(Clone, Debug)]
struct Plan {
    version: u64,
    timeout_ms: u64,
    max_attempts: u32,
    /// The service of plain calls, or both by half.
    desk: Option<&'static str>,
    /// Whether the other service of plain calls is listed.
    lists_other: bool,
    /// Whether the routes of `/more/` exist.
    has_more: bool,
    keys: Vec<&'static str>,
    rate: u64,
    idle_ms: u64,
    max_head_bytes: u32,
    max_body_bytes: u32,
    slots: u32,
    priority: u32,
    extra_routes: usize,
}

impl Plan {
    fn first() -> Self {
        Plan {
            version: FIRST_VERSION,
            timeout_ms: 15_000,
            max_attempts: 2,
            desk: Some(DESKS[0]),
            lists_other: true,
            has_more: true,
            keys: vec![KEY, "second"],
            rate: 1_000_000,
            idle_ms: 15_000,
            max_head_bytes: 16_384,
            max_body_bytes: 1_000,
            slots: 16,
            priority: 0,
            extra_routes: 0,
        }
    }

    fn publish(&mut self, site: &Site) {
        self.version += 1;
        let services = match self.desk {
            Some(desk) => json!([{"service": desk, "weight": 1.0}]),
            None => {
                json!([{"service": DESKS[0], "weight": 0.5}, {"service": DESKS[1], "weight": 0.5}])
            }
        };
        let drafting = json!([{"service": "drafting", "weight": 1.0}]);
        let route = |name: &str, prefix: &str, kind: &str, split: &Value| {
            json!({
                "name": name, "host": HOST, "pathPrefix": prefix, "kind": kind,
                "timeoutMs": self.timeout_ms, "targetLatencyMs": 6_000,
                "priority": self.priority, "maxAttempts": self.max_attempts,
                "trafficSplit": split, "resumable": name == "draft", "gapAimMs": 300,
            })
        };
        let mut routes = vec![
            route("draft", "/draft/", "streaming", &drafting),
            route("once", "/once/", "streaming", &drafting),
            route("status", "/status/", "safe", &services),
            route("receipt", "/receipt/", "unsafe", &services),
        ];
        if self.has_more {
            routes.push(route("more", "/more/", "safe", &services));
            routes.push(route("more-once", "/more/once/", "streaming", &drafting));
        }
        for number in 0..self.extra_routes {
            let (name, prefix) = (format!("extra-{number}"), format!("/extra/{number}/"));
            routes.push(route(&name, &prefix, "safe", &services));
        }
        let listed = DESKS
            .into_iter()
            .filter(|name| self.lists_other || self.desk.is_none_or(|desk| desk == *name));
        let mut services: Vec<Value> = listed
            .map(|name| json!({"name": name, "healthPath": "/healthz", "maxConnections": 100}))
            .collect();
        services.push(json!({
            "name": "drafting", "healthPath": "/healthz", "maxConnections": 100,
            "engine": {"slots": self.slots, "kvCapacityTokens": 100_000},
        }));
        let config = json!({
            "version": self.version, "routes": routes, "services": services,
            "limits": {"maxHeaderBytes": self.max_head_bytes, "maxBodyBytes": self.max_body_bytes,
                       "headerTimeoutMs": 3_000, "idleTimeoutMs": self.idle_ms},
            "tenants": [{"name": "company", "apiKeys": self.keys, "unit": "token_accounting",
                         "plainTokens": 10, "ratePerS": self.rate, "burst": self.rate}],
        });
        site.store.put("op/config", &config);
    }
}

/// Start a site with two services of plain calls.
async fn start_site(hosts: usize, slots: u32) -> (Site, Plan) {
    let options = SiteOptions {
        hosts,
        slots,
        gap: EVENT_GAP,
        ..SiteOptions::default()
    };
    let mut site = Site::start_with(options).await;
    for number in 3..=4 {
        let name = format!("desk-{number}");
        let desk = bergamotswitch_standin::gateway_target::GatewayTargetStandin::start(
            &name, 0, EVENT_GAP,
        );
        site.desks.push(desk.await.expect("desk"));
        site.register(DESKS[1], &site.desks[number - 1], "ready");
    }
    let mut plan = Plan::first();
    plan.publish(&site);
    for host in &site.hosts {
        users::until("the plan is in force", async || {
            let call = Call::new("GET", "/more/1", "first").send(host.callers);
            call.await
                .is_ok_and(|answer| answer.status == StatusCode::OK)
        })
        .await;
    }
    (site, plan)
}

fn whole(events: u32) -> String {
    (1..=events).map(event_text).collect()
}

/// Get a call whose run has this number of events.
fn call_of(path: &str, id: &str, events: u32) -> Call {
    Call::stream(&format!("{path}?events={events}"), id).with("deadline-ms", DEADLINE_MS)
}

/// A `Sent` is a call with its end.
#[derive(Debug)]
struct Sent {
    id: String,
    events: u32,
    took: Duration,
    answer: io::Result<Answer>,
}

impl Sent {
    /// Get how the call ended, after a check that its answer is whole or says the truth.
    fn end(&self, runs: &BTreeMap<String, usize>) -> String {
        let runs = runs.get(&self.id).copied().unwrap_or_default();
        let Ok(answer) = &self.answer else {
            assert_eq!(runs, 0, "run without an answer: {self:?}");
            return "closed".to_owned();
        };
        assert!(answer.whole, "cut: {self:?}");
        match answer.status.as_u16() {
            200 => assert_eq!(answer.text(), whole(self.events), "{self:?}"),
            429 | 503 | 401 | 404 => assert_eq!(runs, 0, "refused and run: {self:?}"),
            status => panic!("status {status}: {self:?}"),
        }
        match answer.status {
            StatusCode::OK => "200".to_owned(),
            status => format!("{} {}", status.as_u16(), answer.text()),
        }
    }
}

/// Count the runs of each call.
fn runs(site: &Site) -> BTreeMap<String, usize> {
    let mut runs = BTreeMap::new();
    let targets = site.engines.iter().chain(&site.desks);
    for call in targets.flat_map(|target| target.calls()) {
        if call.ran {
            *runs.entry(call.field("request-id").to_owned()).or_default() += 1;
        }
    }
    runs
}

fn begin(address: SocketAddr, path: &'static str, id: String, events: u32) -> JoinHandle<Sent> {
    tokio::spawn(async move {
        let sent_at = Instant::now();
        let answer = call_of(path, &id, events).send(address).await;
        Sent {
            id,
            events,
            took: sent_at.elapsed(),
            answer,
        }
    })
}

/// Send a call whose body arrives in two parts, the second one after `pause`.
fn begin_slowly(
    address: SocketAddr,
    path: &'static str,
    id: String,
    events: u32,
    pause: Duration,
) -> JoinHandle<(String, String)> {
    tokio::spawn(async move {
        let head = format!(
            "POST {path}?events={events} HTTP/1.1\r\nhost: {HOST}\r\nrequest-id: {id}\r\n\
             deadline-ms: {DEADLINE_MS}\r\nauthorization: Bearer {KEY}\r\nmodel: m\r\n\
             token-count: 100,80\r\nconnection: close\r\ncontent-length: 6\r\n\r\npro"
        );
        let mut stream = TcpStream::connect(address).await.expect("host");
        stream.write_all(head.as_bytes()).await.expect("head");
        tokio::time::sleep(pause).await;
        let _ = stream.write_all(b"mpt").await;
        let mut answer = String::new();
        let _ = stream.read_to_string(&mut answer).await;
        (id, answer)
    })
}

type Change = (&'static str, fn(&mut Plan));

/// The changes of a configuration that accepted calls outlive.
const CHANGES: &[Change] = &[
    ("timeouts lowered", |plan| plan.timeout_ms = 300),
    ("attempts lowered", |plan| plan.max_attempts = 1),
    ("routes moved", |plan| plan.desk = Some(DESKS[1])),
    ("routes split", |plan| plan.desk = None),
    ("service removed", |plan| {
        plan.desk = Some(DESKS[1]);
        plan.lists_other = false;
    }),
    ("routes removed", |plan| plan.has_more = false),
    ("key removed", |plan| plan.keys = vec!["second"]),
    ("quota lowered", |plan| plan.rate = 1),
    ("limits lowered", |plan| {
        plan.idle_ms = 300;
        plan.max_head_bytes = 8_192;
        plan.max_body_bytes = 1;
    }),
    ("slots lowered", |plan| plan.slots = 1),
    ("priority lowered", |plan| plan.priority = 3),
    ("routes added", |plan| plan.extra_routes = 1_400),
];

/// Change the configuration once while calls are read, wait, run and are streamed, and
/// check the end of each.
async fn change_under_calls(site: &Site, plan: &mut Plan, name: &str, change: &[Change]) {
    const EVENTS: u32 = 24;
    const PATHS: [&str; 6] = [
        "/draft/1",
        "/once/1",
        "/status/1",
        "/receipt/1",
        "/more/1",
        "/more/once/1",
    ];
    let name = name.replace(' ', "-");
    let first = Plan {
        version: plan.version,
        ..Plan::first()
    };
    *plan = first.clone();
    plan.publish(site);
    tokio::time::sleep(Duration::from_millis(700)).await;
    let mut calls = Vec::new();
    let mut slow = Vec::new();
    for (index, host) in site.hosts.iter().enumerate() {
        for path in PATHS {
            for copy in 0..2 {
                let id = format!("c-{name}-{index}{path}-{copy}");
                calls.push(begin(host.callers, path, id, EVENTS));
            }
            let id = format!("s-{name}-{index}{path}");
            let pause = Duration::from_millis(1_200);
            slow.push(begin_slowly(host.callers, path, id, 2, pause));
        }
    }
    tokio::time::sleep(Duration::from_millis(400)).await;
    for (_, change) in change {
        change(plan);
    }
    plan.publish(site);
    let mut sent = Vec::new();
    for call in calls {
        sent.push(call.await.expect("no panic"));
    }
    let mut answers = Vec::new();
    for call in slow {
        answers.push(call.await.expect("no panic"));
    }
    let runs = runs(site);
    let mut ends: BTreeMap<String, usize> = BTreeMap::new();
    let mut longest_refused = Duration::ZERO;
    for call in &sent {
        let end = call.end(&runs);
        if end != "200" {
            longest_refused = longest_refused.max(call.took);
        }
        *ends.entry(end).or_default() += 1;
    }
    for (id, answer) in &answers {
        let status = answer.get(9..12).unwrap_or("closed").to_owned();
        let ran = runs.get(id).copied().unwrap_or_default();
        match status.as_str() {
            "200" => assert!(answer.contains(&event_text(2)), "cut: {id} {answer}"),
            "429" | "503" => assert_eq!(ran, 0, "refused and run: {id} {answer}"),
            _ => panic!("not answered: {id} {answer}"),
        }
        *ends.entry(format!("slow {status}")).or_default() += 1;
    }
    println!("{name}: {ends:?}, longest until refused {longest_refused:?}");
    // Only calls whose service is gone are refused.
    let served = ends.get("200").copied().unwrap_or_default();
    assert!(served * 2 >= sent.len(), "{ends:?}");
}

// Guards against accepted calls that a configuration cuts, or that are run and refused.
#[tokio::test]
async fn changes_at_once() {
    let (site, mut plan) = start_site(2, 4).await;
    change_under_calls(&site, &mut plan, "all", CHANGES).await;
}

// Guards against the same for each kind of change by itself.
#[tokio::test]
#[ignore = "long"]
async fn each_change() {
    let (site, mut plan) = start_site(2, 4).await;
    for change in CHANGES {
        let change = std::slice::from_ref(change);
        change_under_calls(&site, &mut plan, change[0].0, change).await;
    }
}

/// Draw the next configuration.
fn draw(rng: &mut StdRng, plan: &mut Plan) {
    match rng.random_range(0..10) {
        0 => plan.timeout_ms = rng.random_range(8_000..15_000),
        1 => plan.max_attempts = rng.random_range(1..4),
        2 => plan.desk = [Some(DESKS[0]), Some(DESKS[1]), None][rng.random_range(0..3)],
        3 => plan.lists_other = !plan.lists_other,
        4 => plan.has_more = !plan.has_more,
        5 => plan.keys = [vec![KEY], vec![KEY, "second"]][rng.random_range(0..2)].clone(),
        6 => plan.idle_ms = [150, 400, 15_000][rng.random_range(0..3)],
        7 => plan.max_head_bytes = [8_192, 16_384, 40_000][rng.random_range(0..3)],
        8 => plan.slots = rng.random_range(8..32),
        _ => plan.extra_routes = [0, 40, 1_400][rng.random_range(0..3)],
    }
}

/// Change a host's settings file, or leave it, and signal it.
fn reload(rng: &mut StdRng, host: &HostProcess, settings: &str) {
    match rng.random_range(0..5) {
        0 => users::write_grace(&host.settings, Duration::from_secs(rng.random_range(8..12))),
        1 => std::fs::write(&host.settings, "{\"name\":").expect("settings file"),
        2 => std::fs::remove_file(&host.settings).unwrap_or_default(),
        3 => std::fs::write(&host.settings, settings).expect("settings file"),
        _ => {}
    }
    for _ in 0..rng.random_range(1..4) {
        host.child.signal("HUP");
    }
    if !host.settings.exists() || std::fs::read(&host.settings).is_ok_and(|text| text.len() < 20) {
        std::fs::write(&host.settings, settings).expect("settings file");
    }
}

/// Send calls one after the other on one connection while it is open, and to the next host
/// after a refusal.
async fn load(hosts: Vec<SocketAddr>, mut rng: StdRng, caller: usize, until: Instant) -> Vec<Sent> {
    const PATHS: [&str; 5] = ["/draft/1", "/once/1", "/status/1", "/receipt/1", "/more/1"];
    let mut sent = Vec::new();
    let mut connection = None;
    let mut host = caller;
    while Instant::now() < until {
        let path = PATHS[rng.random_range(0..PATHS.len())];
        let id = format!("l-{caller}-{}{path}", sent.len());
        let events = match rng.random_range(0..4) {
            0 => rng.random_range(10..80),
            _ => rng.random_range(1..4),
        };
        let sent_at = Instant::now();
        let kept = match &mut connection {
            Some(kept) => kept,
            None => {
                let opened = KeptConnection::open(hosts[host % hosts.len()]).await;
                connection.insert(opened.expect("a host that accepts callers"))
            }
        };
        let answer = kept.send(call_of(path, &id, events)).await;
        let closes = answer
            .as_ref()
            .is_ok_and(|answer| answer.field("connection") == "close");
        let is_refused = answer
            .as_ref()
            .is_ok_and(|answer| answer.status == StatusCode::SERVICE_UNAVAILABLE);
        if answer.is_err() || closes || is_refused {
            connection = None;
        }
        host += usize::from(is_refused);
        sent.push(Sent {
            id,
            events,
            took: sent_at.elapsed(),
            answer,
        });
        let idle = [1, 20, 100, 150, 320, 400][rng.random_range(0..6)];
        tokio::time::sleep(Duration::from_millis(idle)).await;
    }
    sent
}

/// Run a series of reloads and configurations under load, the last ones while a host stops.
async fn run_series(seed: u64, span: Duration) {
    let (mut site, mut plan) = start_site(3, 32).await;
    let mut rng = StdRng::seed_from_u64(seed);
    let until = Instant::now() + span;
    let mut callers = Vec::new();
    let hosts: Vec<SocketAddr> = site.hosts.iter().map(|host| host.callers).collect();
    for caller in 0..24 {
        let rng = StdRng::seed_from_u64(seed * 1_000 + caller as u64);
        callers.push(tokio::spawn(load(hosts.clone(), rng, caller, until)));
    }
    let settings: Vec<String> = site
        .hosts
        .iter()
        .map(|host| std::fs::read_to_string(&host.settings).expect("settings"))
        .collect();
    let mut stop = None;
    let grace = SiteOptions::default().grace;
    while Instant::now() < until {
        match rng.random_range(0..3) {
            0 => {
                let index = rng.random_range(0..site.hosts.len());
                reload(&mut rng, &site.hosts[index], &settings[index]);
            }
            _ => {
                for _ in 0..rng.random_range(1..5) {
                    draw(&mut rng, &mut plan);
                    plan.publish(&site);
                }
            }
        }
        let left = until.saturating_duration_since(Instant::now());
        // The host accepts callers for longer than the series goes on.
        if stop.is_none() && left < STOP_LEAD {
            let host = site.hosts.pop().expect("host");
            stop = Some(PlannedStop::begin(host.child, grace));
        }
        if let Some(stop) = &stop
            && left > Duration::from_millis(500)
            && rng.random_range(0..3) == 0
        {
            stop.signal("HUP");
        }
        tokio::time::sleep(Duration::from_millis(rng.random_range(20..400))).await;
    }
    let mut sent = Vec::new();
    for caller in callers {
        sent.extend(caller.await.expect("no panic"));
    }
    let runs = runs(&site);
    let mut ends: BTreeMap<String, usize> = BTreeMap::new();
    for call in &sent {
        *ends.entry(call.end(&runs)).or_default() += 1;
    }
    println!(
        "seed {seed}: {} calls, {ends:?}, versions {}",
        sent.len(),
        plan.version - FIRST_VERSION
    );
    if let Some(stop) = stop {
        stop.end().await;
    }
    let served = ends.get("200").copied().unwrap_or_default();
    assert!(served * 2 > sent.len(), "{ends:?}");
}

// Guards against calls that are cut, or run and refused, while settings are reloaded and
// configurations follow in quick succession.
#[tokio::test]
async fn quick_succession() {
    run_series(1, Duration::from_secs(8)).await;
}

// Guards against the same for other seeds, for a range in `CHANGE_SEEDS`.
#[tokio::test]
#[ignore = "long"]
async fn many_series() {
    let seeds = std::env::var("CHANGE_SEEDS").unwrap_or_else(|_| "1..6".to_owned());
    let (from, to) = seeds.split_once("..").expect("a range");
    for seed in from.parse().expect("seed")..to.parse().expect("seed") {
        run_series(seed, Duration::from_secs(15)).await;
    }
}
