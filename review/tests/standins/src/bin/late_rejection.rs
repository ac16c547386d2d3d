//! Case: a late second copy of a rejection is taken for the answer to the next request.
//!
//! One of three workers sheds a part of its requests (`srv_grey`, shed). It and another one
//! send some answers a second time, late, where the next response on the connection is expected
//! (`garble`, extra late): 3 in 100 of the answers of both. The rule is broken if a request that
//! isn't idempotent runs twice.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::time::{Duration, Instant};

use review_standins::client::{Connection, Request};
use review_standins::record::Record;
use review_standins::site::{self, Bounds, Site};
use review_standins::store::Store;
use review_standins::{BROKEN, HELD, NOT_RUN, has_trouble, start_watchdog, worker};

const ZONES: [&str; 3] = ["mza-norte", "mza-sur", "sanjuan"];
const KEY: &str = "i9n73hh2b9wu3fexd9dn";
const SEAL: &str = "3e1b.07.5a2.600.0.c9f2a4d1";
const WORK: Duration = Duration::from_millis(30);

/// The load of the service, in requests a second.
const UNSAFE_PER_S: u32 = 64;
const CLIENTS: u32 = 24;

/// When each round of trouble begins, in seconds, and the largest doses of the pages.
const ROUNDS: [f64; 4] = [2.0, 11.0, 20.0, 29.0];
const SHED_S: f64 = 6.5;
const SHED_SHARE: f64 = 0.45;
const EXTRA_S: f64 = 5.0;
const EXTRA_SHARE: f64 = 0.03;
const EXTRAS_PER_ROUND: u32 = 3;
const LENGTH_S: f64 = 38.0;

/// The answers of the workers that are garbled, and those that they sent a second time.
#[derive(Default)]
struct Garble {
    rounds: AtomicU32,
    answers: AtomicU32,
    extras: AtomicU32,
}

impl Garble {
    /// Get whether one more answer may be sent a second time in this round.
    fn takes(&self) -> bool {
        let begun = self.rounds.load(Ordering::Relaxed);
        let is_open = self.extras.load(Ordering::Relaxed) < begun * EXTRAS_PER_ROUND;
        if is_open {
            self.extras.fetch_add(1, Ordering::Relaxed);
        }
        is_open
    }

    /// Get whether the answers sent a second time are within the dose.
    fn is_in_dose(&self) -> bool {
        let most = f64::from(self.answers.load(Ordering::Relaxed)) * EXTRA_SHARE;
        f64::from(self.extras.load(Ordering::Relaxed)) <= most
    }
}

/// The state of one worker.
#[derive(Default)]
struct Worker {
    name: String,
    /// The requests that it began to run.
    runs: Mutex<Vec<String>>,
    answers: AtomicU32,
    shed: AtomicU32,
    draws: AtomicU32,
    /// Whether it sheds a part of its requests in the rounds of trouble.
    is_grey: AtomicBool,
    /// Whether it is one of the workers that are garbled.
    is_garbled: AtomicBool,
    garble: Arc<Garble>,
}

impl Worker {
    /// Get whether the next request is shed.
    fn sheds(&self, since: f64) -> bool {
        if !self.is_grey.load(Ordering::Relaxed) || !is_in_round(since, SHED_S) {
            return false;
        }
        let draw = self
            .draws
            .fetch_add(1, Ordering::Relaxed)
            .wrapping_mul(2_654_435_761);
        f64::from(draw >> 8) / f64::from(1u32 << 24) < SHED_SHARE
    }

    /// Count an answer; get whether it is sent a second time.
    fn repeats(&self, since: f64, is_rejection: bool) -> bool {
        self.answers.fetch_add(1, Ordering::Relaxed);
        if !self.is_garbled.load(Ordering::Relaxed) || !is_in_round(since, EXTRA_S) {
            return false;
        }
        let garble = &self.garble;
        garble.answers.fetch_add(1, Ordering::Relaxed);
        is_rejection && self.is_grey.load(Ordering::Relaxed) && garble.takes()
    }
}

fn is_in_round(since: f64, span: f64) -> bool {
    ROUNDS.iter().any(|at| since >= *at && since < at + span)
}

fn config() -> String {
    let route = format!(
        r#"{{"name":"r-crew","host":"{}","pathPrefix":"/puxa403/","kind":"unsafe","timeoutMs":1000,"targetLatencyMs":150,"priority":2,"service":"wuno96b","maxAttempts":1,"public":false}}"#,
        site::HOST
    );
    format!(
        r#"{{"version":7,"routes":[{route}],"services":[{{"name":"wuno96b","healthPath":"/healthz","maxConnections":100,"protocol":"h1","tls":false}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},"tenants":[{{"name":"hule930","apiKeys":["{KEY}"],"priority":1,"unit":"token_accounting","plainTokens":200,"ratePerS":381602,"burst":381602}}]}}"#,
    )
}

fn start_worker(
    state: Arc<Worker>,
    traffic: Arc<OnceLock<Instant>>,
    record: Record,
) -> std::io::Result<SocketAddr> {
    worker::start(move |number| {
        let state = Arc::clone(&state);
        let (traffic, record) = (Arc::clone(&traffic), record.clone());
        // The second copy of an answer that is still to be sent on this connection.
        let mut late: Option<(String, Vec<u8>)> = None;
        move |request, stream| {
            use std::io::Write;
            let id = request.field("request-id").to_owned();
            let name = &state.name;
            if request.target() == "/healthz" {
                let bytes = worker::response("200 OK", &[("Instance-Id", name)], "");
                return stream.write_all(&bytes).is_ok();
            }
            if request.field("target-instance") != *name {
                let fields = [("Instance-Id", name.as_str()), ("Request-Id", id.as_str())];
                let bytes = worker::response("421 Misdirected Request", &fields, "");
                return stream.write_all(&bytes).is_ok();
            }
            let since = traffic.get().map_or(0.0, |at| at.elapsed().as_secs_f64());
            late = late.take().filter(|_| is_in_round(since, EXTRA_S));
            let is_behind = late.is_some();
            if let Some((earlier, bytes)) = late.take() {
                record.line(&format!("worker {name} connection {number}: sends the answer to {earlier} a second time, while {id} waits"));
                if stream.write_all(&bytes).is_err() {
                    return false;
                }
            }
            if !is_behind && state.sheds(since) {
                state.shed.fetch_add(1, Ordering::Relaxed);
                record.line(&format!(
                    "worker {name} connection {number}: rejects {id} (503 Not-Executed)"
                ));
                let fields = [("Request-Id", id.as_str()), ("Not-Executed", "1")];
                let bytes = worker::response("503 Service Unavailable", &fields, "");
                if state.repeats(since, true) {
                    late = Some((id, bytes.clone()));
                }
                return stream.write_all(&bytes).is_ok();
            }
            let method = request.method();
            record.line(&format!(
                "worker {name} connection {number}: runs {method} {id}"
            ));
            state.runs.lock().unwrap().push(id.clone());
            std::thread::sleep(WORK);
            state.repeats(since, false);
            let fields = [("Request-Id", id.as_str()), ("Response-Seal", SEAL)];
            let bytes = worker::response("200 OK", &fields, &format!("done {id}"));
            stream.write_all(&bytes).is_ok()
        }
    })
}

fn run_client(number: u32, hosts: Vec<SocketAddr>, started: Instant, record: Record) {
    let pause = Duration::from_secs_f64(f64::from(CLIENTS) / f64::from(UNSAFE_PER_S));
    let mut open: HashMap<usize, Connection> = HashMap::new();
    let mut next = Instant::now() + pause * number / CLIENTS;
    for round in 0u32.. {
        std::thread::sleep(next.saturating_duration_since(Instant::now()));
        next += pause;
        if started.elapsed().as_secs_f64() > LENGTH_S {
            return;
        }
        let place = (number + round) as usize % hosts.len();
        let id = format!("{number:02x}{round:06x}");
        let request = Request::new("POST", "/puxa403/2f", &id, KEY, 1_000).body(&[b'x'; 600]);
        let connection = match open.remove(&place) {
            Some(connection) => Ok(connection),
            None => Connection::open(hosts[place]),
        };
        let Ok(mut connection) = connection else {
            record.line(&format!("client {number}: no connection for {id}"));
            continue;
        };
        record.line(&format!("client {number}: sends {id}"));
        match connection.exchange(&request, Duration::from_millis(1_500)) {
            Ok(answer) => {
                let status = answer.status();
                record.line(&format!("client {number}: {id} is answered {status}"));
                if !answer.field("connection").eq_ignore_ascii_case("close") {
                    open.insert(place, connection);
                }
            }
            Err(error) => record.line(&format!("client {number}: {id} has no answer: {error}")),
        }
    }
}

/// In each round, trouble the two workers that had the most requests since the last one.
fn begin_rounds(workers: &[Arc<Worker>], begun: Instant, record: &Record) {
    let mut before = vec![0; workers.len()];
    for at in ROUNDS {
        let wait = Duration::from_secs_f64(at).saturating_sub(begun.elapsed());
        std::thread::sleep(wait.saturating_sub(Duration::from_millis(20)));
        let counts: Vec<u32> = workers
            .iter()
            .map(|worker| worker.answers.load(Ordering::Relaxed))
            .collect();
        let mut order: Vec<usize> = (0..workers.len()).collect();
        order.sort_by_key(|place| std::cmp::Reverse(counts[*place] - before[*place]));
        for (rank, place) in order.iter().enumerate() {
            workers[*place].is_grey.store(rank == 0, Ordering::Relaxed);
            workers[*place]
                .is_garbled
                .store(rank < 2, Ordering::Relaxed);
        }
        record.line(&format!(
            "round of trouble: {} is grey",
            workers[order[0]].name
        ));
        before = counts;
        workers[0].garble.rounds.fetch_add(1, Ordering::Relaxed);
    }
}

fn play(record: &Record) -> Result<bool, String> {
    let store = Store::start().map_err(|error| error.to_string())?;
    store.put("op/config", &config());
    let traffic = Arc::new(OnceLock::new());
    let mut workers = Vec::new();
    let garble = Arc::new(Garble::default());
    for (number, zone) in ZONES.iter().enumerate() {
        let state = Arc::new(Worker {
            name: format!("i-7f3a91c{number}"),
            garble: Arc::clone(&garble),
            ..Worker::default()
        });
        let address = start_worker(Arc::clone(&state), Arc::clone(&traffic), record.clone());
        let address = address.map_err(|error| error.to_string())?;
        let entry = format!(
            r#"{{"service":"wuno96b","address":"{address}","zone":"{zone}","version":"v1","slots":6,"state":"ready","coldRemainingMs":0,"sequence":1}}"#
        );
        store.put(&format!("servers/{}", state.name), &entry);
        workers.push(state);
    }
    let bounds = Bounds::rab_cielo();
    let site =
        Site::start(store.address, &ZONES[..2], 2, &bounds).ok_or("the hosts are not ready")?;
    let begun = Instant::now();
    // The times of the trouble count from the start of traffic.
    let _ = traffic.set(begun);
    let hosts: Vec<_> = site.hosts.iter().map(|host| host.callers).collect();
    if has_trouble() {
        let (workers, record) = (workers.clone(), record.clone());
        std::thread::spawn(move || begin_rounds(&workers, begun, &record));
    }
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (hosts, record) = (hosts.clone(), record.clone());
            std::thread::spawn(move || run_client(number, hosts, begun, record))
        })
        .collect();
    for client in clients {
        client.join().map_err(|_| "a client failed")?;
    }
    std::thread::sleep(Duration::from_millis(500));
    let mut runs: HashMap<String, Vec<String>> = HashMap::new();
    for worker in &workers {
        for id in worker.runs.lock().unwrap().iter() {
            runs.entry(id.clone())
                .or_default()
                .push(worker.name.clone());
        }
    }
    let count = |name: &AtomicU32| name.load(Ordering::Relaxed);
    for worker in &workers {
        let (answers, shed) = (count(&worker.answers), count(&worker.shed));
        record.line(&format!(
            "worker {}: {answers} answers, {shed} of them rejections",
            worker.name
        ));
    }
    let (answers, extras) = (count(&garble.answers), count(&garble.extras));
    record.line(&format!(
        "garbled: {answers} answers, {extras} of them sent a second time"
    ));
    let unsafe_runs = runs.len();
    record.line(&format!(
        "{unsafe_runs} requests that aren't idempotent ran"
    ));
    if !garble.is_in_dose() {
        return Err("more answers were sent a second time than the dose allows".to_owned());
    }
    if unsafe_runs < 200 {
        return Err("too few requests ran".to_owned());
    }
    let twice = runs.iter().filter(|(_, at)| at.len() > 1);
    let mut is_broken = false;
    for (id, at) in twice {
        is_broken = true;
        record.line(&format!("TWICE: {id} ran at {}", at.join(" and ")));
        println!("TWICE: {id} ran at {}", at.join(" and "));
    }
    drop(site);
    Ok(is_broken)
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
