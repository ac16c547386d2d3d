//! Case: a configuration that a host cannot read leaves the one before in force, keys included.
//!
//! A new version takes a key away from its tenant, and has a further route whose name holds a
//! slash. The rule is broken if a request with that key runs that was sent later than `revokeMs`
//! after the store has acknowledged the version.

use std::collections::HashMap;
use std::io::Write;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use review_standins::client::{Connection, Request};
use review_standins::record::Record;
use review_standins::site::{self, Bounds, Site};
use review_standins::store::Store;
use review_standins::{BROKEN, HELD, NOT_RUN, has_trouble, start_watchdog, worker};

const ZONES: [&str; 3] = ["espoo-hall", "vantaa-hall", "kerava-hall"];
const TAKEN_KEY: &str = "i9n73hh2b9wu3fexd9dn";
const KEPT_KEY: &str = "n2ctnfzs989anu6wsjnb";
const SEAL: &str = "3e1b.07.5a2.600.0.c9f2a4d1";
const HOSTS: usize = 3;
const CLIENTS: u32 = 6;
const PAUSE: Duration = Duration::from_millis(200);
const REVOKE: Duration = Duration::from_millis(5_000);
/// When the new version is written, in seconds from the start of traffic.
const CHANGE_AT: Duration = Duration::from_secs(3);
const LENGTH: Duration = Duration::from_secs(16);

fn config(version: u32, keys: &[&str], further: Option<&str>) -> String {
    let route = |name: &str, prefix: &str| {
        format!(
            r#"{{"name":"{name}","host":"{}","pathPrefix":"{prefix}","kind":"unsafe","timeoutMs":600,"targetLatencyMs":100,"priority":2,"service":"wuno96b","maxAttempts":1,"public":false}}"#,
            site::HOST
        )
    };
    let mut routes = vec![route("r-receipt", "/puxa403/")];
    routes.extend(further.map(|name| route(name, "/pufi791/")));
    let keys: Vec<String> = keys.iter().map(|key| format!("\"{key}\"")).collect();
    format!(
        r#"{{"version":{version},"routes":[{}],"services":[{{"name":"wuno96b","healthPath":"/healthz","maxConnections":110,"protocol":"h1","tls":false}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},"tenants":[{{"name":"hule930","apiKeys":[{}],"priority":1,"unit":"token_accounting","plainTokens":200,"ratePerS":381602,"burst":381602}}]}}"#,
        routes.join(","),
        keys.join(",")
    )
}

fn start_worker(
    name: String,
    runs: Arc<Mutex<Vec<String>>>,
    record: Record,
) -> std::io::Result<SocketAddr> {
    worker::start(move |_| {
        let (name, runs, record) = (name.clone(), Arc::clone(&runs), record.clone());
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
            record.line(&format!("worker {name}: runs {id}"));
            runs.lock().unwrap().push(id.clone());
            std::thread::sleep(Duration::from_millis(15));
            let fields = [("Request-Id", id.as_str()), ("Response-Seal", SEAL)];
            let bytes = worker::response("200 OK", &fields, &format!("done {id}"));
            stream.write_all(&bytes).is_ok()
        }
    })
}

/// When each request with the taken key was sent.
type SentTimes = Arc<Mutex<HashMap<String, Instant>>>;

fn run_client(
    number: u32,
    hosts: Vec<SocketAddr>,
    begun: Instant,
    sent: SentTimes,
    record: Record,
) {
    let has_taken_key = number % 2 == 0;
    let key = if has_taken_key { TAKEN_KEY } else { KEPT_KEY };
    for round in 0u32.. {
        std::thread::sleep(PAUSE);
        if begun.elapsed() > LENGTH {
            return;
        }
        let id = format!("{number:02x}{round:06x}");
        let address = hosts[(number / 2 + round) as usize % hosts.len()];
        let request = Request::new("POST", "/puxa403/2f", &id, key, 600).body(&[b'x'; 600]);
        if has_taken_key {
            sent.lock().unwrap().insert(id.clone(), Instant::now());
        }
        record.line(&format!("client {number}: sends {id} with key {key}"));
        let answer = Connection::open(address)
            .and_then(|mut open| open.exchange(&request, Duration::from_secs(2)));
        match answer {
            Ok(answer) => {
                record.line(&format!(
                    "client {number}: {id} is answered {}",
                    answer.status()
                ));
            }
            Err(error) => record.line(&format!("client {number}: {id} has no answer: {error}")),
        }
    }
}

fn play(record: &Record) -> Result<bool, String> {
    let store = Store::start().map_err(|error| error.to_string())?;
    store.put("op/config", &config(7, &[TAKEN_KEY, KEPT_KEY], None));
    let runs = Arc::new(Mutex::new(Vec::new()));
    for (number, zone) in ZONES.iter().enumerate() {
        let name = format!("i-7f3a91c{number}");
        let address = start_worker(name.clone(), Arc::clone(&runs), record.clone());
        let address = address.map_err(|error| error.to_string())?;
        let entry = format!(
            r#"{{"service":"wuno96b","address":"{address}","zone":"{zone}","version":"v1","slots":6,"state":"ready","coldRemainingMs":0,"sequence":1}}"#
        );
        store.put(&format!("servers/{name}"), &entry);
    }
    let bounds = Bounds::naapuriseina();
    let site =
        Site::start(store.address, &ZONES, HOSTS, &bounds).ok_or("the hosts are not ready")?;
    let begun = Instant::now();
    let callers: Vec<SocketAddr> = site.hosts.iter().map(|host| host.callers).collect();
    let sent = SentTimes::default();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (callers, sent, record) = (callers.clone(), Arc::clone(&sent), record.clone());
            std::thread::spawn(move || run_client(number, callers, begun, sent, record))
        })
        .collect();
    std::thread::sleep(CHANGE_AT.saturating_sub(begun.elapsed()));
    let further = if has_trouble() {
        "drafts/2026"
    } else {
        "drafts-2026"
    };
    store.put("op/config", &config(9, &[KEPT_KEY], Some(further)));
    let acknowledged = Instant::now();
    record.line(&format!(
        "store: version 9 takes {TAKEN_KEY} away, and has a route named {further}"
    ));
    for client in clients {
        client.join().map_err(|_| "a client failed")?;
    }
    for line in site.logged("unreadable").iter().take(3) {
        record.line(line);
    }
    drop(site);
    let runs = runs.lock().unwrap();
    let sent = sent.lock().unwrap();
    let late = runs.iter().filter_map(|id| {
        let after = sent.get(id)?.checked_duration_since(acknowledged)?;
        (after > REVOKE).then_some((id, after))
    });
    let late: Vec<_> = late.collect();
    for (id, after) in &late {
        let after = after.as_secs_f64();
        record.line(&format!(
            "CONFIG: {id}, sent {after:.2} s after its key was taken away, has run"
        ));
    }
    let text = format!(
        "{} requests ran, {} of them with the key that was taken away",
        runs.len(),
        late.len()
    );
    record.line(&text);
    println!("{text}");
    if runs.len() < 100 {
        return Err("too few requests ran".to_owned());
    }
    Ok(!late.is_empty())
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
