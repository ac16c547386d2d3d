//! Case: answers without end exceed a host's memory.
//!
//! A part of the model workers answers with bytes that are no event, without end, until the
//! caller closes. The platform kills a process that exceeds its `memoryMb`, as the pages say,
//! and starts it again. The rule is broken if more than three requests that were passed on to
//! sound workers from kept connections end with a closed connection and no answer.

use std::collections::{HashMap, HashSet};
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::time::{Duration, Instant};

use review_standins::client::{Connection, Request};
use review_standins::http::Message;
use review_standins::record::Record;
use review_standins::site::{self, Bounds, Host, Site};
use review_standins::store::Store;
use review_standins::{BROKEN, HELD, NOT_RUN, has_trouble, start_watchdog, worker};

const ZONES: [&str; 3] = ["espoo-hall", "vantaa-hall", "kerava-hall"];
const KEY: &str = "i9n73hh2b9wu3fexd9dn";
const SEAL: &str = "3e1b.07.5a2.600.0.c9f2a4d1";
const MEMORY_MB: u64 = 110;

/// Half of the site: 4 of 8 machines, 9 of 18 model workers, and half of their traffic.
const HOSTS: usize = 4;
const WORKERS: usize = 9;
const TROUBLED: usize = 5;
const CLIENTS: u32 = 200;
const PER_S: f64 = 79.0;

/// A sound stream: the time to its first event, the events and the pauses between them.
const FIRST_EVENT: Duration = Duration::from_millis(600);
const EVENTS: u32 = 8;
const PAUSE: Duration = Duration::from_millis(30);

/// When the two times of trouble begin and end, in seconds from the start of traffic.
const TROUBLE_S: [std::ops::Range<f64>; 2] = [5.0..11.5, 18.0..24.5];
const LENGTH_S: f64 = 29.0;

/// What one worker sends, in bytes a second over all of its connections: a 1,000 Mbit/s link.
const LINK_BYTES: u64 = 125_000_000;
const CHUNK: usize = 64 << 10;

const MOST_LOST: usize = 3;

/// A `Link` is the bandwidth of a worker's link.
#[derive(Default)]
struct Link {
    free_at: Mutex<Option<Instant>>,
}

impl Link {
    /// Wait until some bytes may be sent.
    fn wait(&self, bytes: usize) {
        let span = Duration::from_secs_f64(bytes as f64 / LINK_BYTES as f64);
        let at = {
            let mut free_at = self.free_at.lock().unwrap();
            let at = free_at.map_or_else(Instant::now, |at| at.max(Instant::now()));
            *free_at = Some(at + span);
            at
        };
        std::thread::sleep(at.saturating_duration_since(Instant::now()));
    }
}

/// What the workers have seen.
struct World {
    /// The start of traffic.
    started: OnceLock<Instant>,
    record: Record,
    is_on: AtomicBool,
    /// The requests that sound workers got.
    at_sound: Mutex<HashSet<String>>,
    endless: AtomicU32,
    /// The most bytes of one endless answer.
    most_bytes: AtomicU64,
}

impl World {
    /// Get the time since the start of traffic, in seconds.
    fn since_start(&self) -> f64 {
        self.started
            .get()
            .map_or(0.0, |at| at.elapsed().as_secs_f64())
    }

    fn has_trouble(&self) -> bool {
        let since = self.since_start();
        self.is_on.load(Ordering::Relaxed) && TROUBLE_S.iter().any(|span| span.contains(&since))
    }
}

fn config() -> String {
    format!(
        r#"{{"version":7,"routes":[{{"name":"r-nr26tta","host":"{}","pathPrefix":"/lohu930/","kind":"streaming","timeoutMs":12000,"targetLatencyMs":800,"priority":1,"service":"huvo11a","maxAttempts":1,"public":false,"sticky":true,"resumable":false,"gapAimMs":300}}],"services":[{{"name":"huvo11a","healthPath":"/healthz","maxConnections":500,"protocol":"h1","tls":false,"engine":{{"slots":12,"kvCapacityTokens":549040,"kvTokenBytes":18432,"linkMbps":180000.0,"moves":true,"backups":true,"stride":6,"most":12,"pinMs":4000.0,"holdMs":2000.0,"handleS":5.0,"models":[{{"name":"m"}}]}}}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},"tenants":[{{"name":"hule930","apiKeys":["{KEY}"],"priority":1,"unit":"token_accounting","plainTokens":200,"ratePerS":381602,"burst":381602}}]}}"#,
        site::HOST
    )
}

/// Answer a stream. A worker in trouble goes on with bytes that are no event, without end.
fn answer(
    world: &World,
    link: &Link,
    is_troubled: bool,
    request: &Message,
    stream: &mut TcpStream,
) -> bool {
    let is_in_trouble = || is_troubled && world.has_trouble();
    if !is_in_trouble() {
        std::thread::sleep(FIRST_EVENT);
    }
    let id = request.field("request-id");
    let head = format!(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nRequest-Id: {id}\r\nResponse-Seal: {SEAL}\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    if stream.write_all(head.as_bytes()).is_err() {
        return false;
    }
    for number in 1..=EVENTS {
        if is_in_trouble() {
            world.endless.fetch_add(1, Ordering::Relaxed);
            let sent = send_without_end(link, stream);
            world.most_bytes.fetch_max(sent, Ordering::Relaxed);
            let text = format!("worker: the caller of {id} closed after {sent} bytes without end");
            world.record.line(&text);
            return false;
        }
        let event = worker::event(number, &"t".repeat(60));
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        if stream.write_all(chunk.as_bytes()).is_err() {
            return false;
        }
        std::thread::sleep(PAUSE);
    }
    stream.write_all(b"0\r\n\r\n").is_ok()
}

/// Send bytes, as one chunk, until the caller closes. Get how many were sent.
fn send_without_end(link: &Link, stream: &mut TcpStream) -> u64 {
    let bytes = vec![b'x'; CHUNK];
    let mut sent = 0;
    let mut is_open = stream.write_all(b"7fffffff\r\n").is_ok();
    while is_open {
        link.wait(CHUNK);
        is_open = stream.write_all(&bytes).is_ok();
        sent += CHUNK as u64;
    }
    sent
}

fn start_worker(name: String, is_troubled: bool, world: Arc<World>) -> std::io::Result<SocketAddr> {
    let link = Arc::new(Link::default());
    worker::start(move |_| {
        let (name, world, link) = (name.clone(), Arc::clone(&world), Arc::clone(&link));
        move |request, stream| {
            let id = request.field("request-id").to_owned();
            if request.target() == "/healthz" {
                let bytes = worker::response("200 OK", &[("Instance-Id", &name)], "");
                return stream.write_all(&bytes).is_ok();
            }
            if request.field("target-instance") != name {
                let fields = [("Instance-Id", name.as_str()), ("Request-Id", id.as_str())];
                let bytes = worker::response("421 Misdirected Request", &fields, "");
                return stream.write_all(&bytes).is_ok();
            }
            if !is_troubled {
                world.at_sound.lock().unwrap().insert(id.clone());
            }
            world.record.line(&format!("worker {name}: runs {id}"));
            answer(&world, &link, is_troubled, request, stream)
        }
    })
}

/// Kill a host that exceeds its memory and start it again, as the platform does.
fn watch_memory(
    hosts: Arc<Vec<Host>>,
    place: usize,
    is_over: Arc<AtomicBool>,
    kills: Arc<AtomicU32>,
    most: Arc<AtomicU64>,
    record: Record,
) {
    let host = &hosts[place];
    while !is_over.load(Ordering::Relaxed) {
        std::thread::sleep(Duration::from_millis(4));
        let Ok(status) = std::fs::read_to_string(format!("/proc/{}/status", host.id())) else {
            continue;
        };
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kilobytes = line.and_then(|line| line.trim().split(' ').next()?.parse::<u64>().ok());
        let megabytes = kilobytes.unwrap_or(0) / 1_024;
        most.fetch_max(megabytes, Ordering::Relaxed);
        if megabytes > MEMORY_MB {
            record.line(&format!(
                "platform: {} takes {megabytes} MB and is killed",
                host.name
            ));
            host.signal("-KILL");
            kills.fetch_add(1, Ordering::Relaxed);
            std::thread::sleep(Duration::from_millis(500));
            host.restart();
        }
    }
}

/// A `Loss` is a request that ended with a closed connection and no answer.
struct Loss {
    id: String,
    is_kept: bool,
}

fn run_client(
    number: u32,
    hosts: Vec<SocketAddr>,
    world: Arc<World>,
    losses: Arc<Mutex<Vec<Loss>>>,
    served: Arc<AtomicU32>,
) {
    let pause = Duration::from_secs_f64(f64::from(CLIENTS) / PER_S);
    let mut open: HashMap<usize, Connection> = HashMap::new();
    let mut next = Instant::now() + pause * number / CLIENTS;
    for round in 0u32.. {
        std::thread::sleep(next.saturating_duration_since(Instant::now()));
        next += pause;
        if world.since_start() > LENGTH_S {
            return;
        }
        let place = number as usize % hosts.len();
        let id = format!("{number:02x}{round:06x}");
        let request = Request::new("POST", "/lohu930/2f", &id, KEY, 12_000)
            .with("Model", "m")
            .with("Token-Count", "628,290")
            .with(
                "Prompt-Prefix",
                &format!("5c1e07a2:60,{number:04x}{round:06x}:568"),
            )
            .body(&[b'p'; 830]);
        let kept = open.remove(&place);
        let is_kept = kept.is_some();
        let connection = kept.map_or_else(|| Connection::open(hosts[place]), Ok);
        let Ok(mut connection) = connection else {
            continue;
        };
        world.record.line(&format!(
            "client {number}: sends {id}, kept connection: {is_kept}"
        ));
        match connection.exchange(&request, Duration::from_secs(13)) {
            Ok(answer) => {
                let (status, whole) = (answer.status(), answer.whole);
                world.record.line(&format!(
                    "client {number}: {id} is answered {status}, whole: {whole}"
                ));
                served.fetch_add(u32::from(status == 200 && whole), Ordering::Relaxed);
                if whole && !answer.field("connection").eq_ignore_ascii_case("close") {
                    open.insert(place, connection);
                }
            }
            Err(error) => {
                world
                    .record
                    .line(&format!("client {number}: {id} has no answer: {error}"));
                losses.lock().unwrap().push(Loss { id, is_kept });
            }
        }
    }
}

fn play(record: &Record) -> Result<bool, String> {
    let store = Store::start().map_err(|error| error.to_string())?;
    store.put("op/config", &config());
    let mut bounds = Bounds::naapuriseina();
    bounds.memory_mb = MEMORY_MB;
    let world = Arc::new(World {
        started: OnceLock::new(),
        record: record.clone(),
        is_on: AtomicBool::new(has_trouble()),
        at_sound: Mutex::default(),
        endless: AtomicU32::new(0),
        most_bytes: AtomicU64::new(0),
    });
    for number in 0..WORKERS {
        let name = format!("i-7f3a91c{number}");
        let is_troubled = number < TROUBLED;
        let address = start_worker(name.clone(), is_troubled, Arc::clone(&world));
        let address = address.map_err(|error| error.to_string())?;
        let zone = ZONES[number % ZONES.len()];
        let entry = format!(
            r#"{{"service":"huvo11a","address":"{address}","zone":"{zone}","version":"v1","slots":12,"state":"ready","coldRemainingMs":0,"stage":"unified","models":[{{"name":"m","version":1,"adapters":[]}}],"sequence":4}}"#
        );
        store.put(&format!("servers/{name}"), &entry);
    }
    let site =
        Site::start(store.address, &ZONES, HOSTS, &bounds).ok_or("the hosts are not ready")?;
    let _ = world.started.set(Instant::now());
    let callers: Vec<SocketAddr> = site.hosts.iter().map(|host| host.callers).collect();
    let (is_over, most) = (
        Arc::new(AtomicBool::new(false)),
        Arc::new(AtomicU64::new(0)),
    );
    let mut site = site;
    let hosts = Arc::new(std::mem::take(&mut site.hosts));
    let kills: Vec<Arc<AtomicU32>> = (0..HOSTS).map(|_| Arc::default()).collect();
    let watches: Vec<_> = (0..HOSTS)
        .map(|place| {
            let (hosts, is_over) = (Arc::clone(&hosts), Arc::clone(&is_over));
            let (kills, most) = (Arc::clone(&kills[place]), Arc::clone(&most));
            let record = record.clone();
            std::thread::spawn(move || watch_memory(hosts, place, is_over, kills, most, record))
        })
        .collect();
    let (losses, served) = (
        Arc::new(Mutex::new(Vec::new())),
        Arc::new(AtomicU32::new(0)),
    );
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (callers, world) = (callers.clone(), Arc::clone(&world));
            let (losses, served) = (Arc::clone(&losses), Arc::clone(&served));
            std::thread::spawn(move || run_client(number, callers, world, losses, served))
        })
        .collect();
    for client in clients {
        client.join().map_err(|_| "a client failed")?;
    }
    is_over.store(true, Ordering::Relaxed);
    for watch in watches {
        watch.join().map_err(|_| "a watch failed")?;
    }
    site.hosts = Arc::into_inner(hosts).ok_or("a host is in use")?;
    drop(site);
    let kills: Vec<u32> = kills
        .iter()
        .map(|count| count.load(Ordering::Relaxed))
        .collect();
    let served = served.load(Ordering::Relaxed);
    let at_sound = world.at_sound.lock().unwrap();
    let losses = losses.lock().unwrap();
    let lost: Vec<&Loss> = losses
        .iter()
        .filter(|loss| loss.is_kept && at_sound.contains(&loss.id))
        .collect();
    let most_bytes = world.most_bytes.load(Ordering::Relaxed);
    let endless = world.endless.load(Ordering::Relaxed);
    let text = format!(
        "{served} served; {endless} answered without end, the longest of {most_bytes} bytes; \
         most memory {} MB; killed by host: {kills:?}; {} without an answer, {} of them at sound \
         workers from kept connections",
        most.load(Ordering::Relaxed),
        losses.len(),
        lost.len()
    );
    record.line(&text);
    println!("{text}");
    for loss in &lost {
        record.line(&format!("LOST: {}", loss.id));
    }
    if served < 300 {
        return Err("too few requests were served".to_owned());
    }
    Ok(lost.len() > MOST_LOST)
}

fn main() {
    start_watchdog(Duration::from_secs(100));
    let path = PathBuf::from(
        std::env::args()
            .nth(1)
            .unwrap_or_else(|| "record.txt".to_owned()),
    );
    let Ok(record) = Record::create(&path) else {
        std::process::exit(NOT_RUN);
    };
    let played = play(&record);
    site::kill_all_hosts();
    let code = match played {
        Ok(true) => BROKEN,
        Ok(false) => HELD,
        Err(error) => {
            eprintln!("not run: {error}");
            record.line(&format!("not run: {error}"));
            NOT_RUN
        }
    };
    record.flush();
    std::process::exit(code);
}
