//! The case of a revoked key that works again after a drill of the store in which all hosts
//! are lost too.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::hosts::{HostSpec, start_hosts};
use crate::http::Call;
use crate::record::Record;
use crate::store::Store;
use crate::worker::{Worker, WorkerKind, WorkerOptions};
use crate::{CaseSetup, Verdict};

const REVOKE: Duration = Duration::from_millis(5_000);
const LOST_KEY: &str = "n2ctnfzs989anu6wsjnb";
const KEPT_KEY: &str = "i9n73hh2b9wu3fexd9dn";

/// How old the copy is from which the store comes back.
const COPY_AGE: Duration = Duration::from_secs(7);
/// How long the store is away.
const AWAY: Duration = Duration::from_millis(1_000);
/// How long after the store's return the operator and the workers have written again.
const REWRITE: Duration = Duration::from_millis(2_000);

fn config(version: u64, keys: &[&str]) -> String {
    let keys: Vec<String> = keys.iter().map(|key| format!("\"{key}\"")).collect();
    let keys = keys.join(",");
    format!(
        r#"{{"version":{version},"routes":[
{{"name":"status","host":"case.example","pathPrefix":"/status/","kind":"safe",
"timeoutMs":2000,"targetLatencyMs":100,"priority":2,"service":"case-desk","maxAttempts":2,
"public":false,"sticky":false,"resumable":false}}],
"services":[{{"name":"case-desk","healthPath":"/healthz","maxConnections":110,"protocol":"h1",
"tls":false}}],
"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,
"idleTimeoutMs":15000}},
"tenants":[{{"name":"hule930","apiKeys":[{keys}],"priority":1,
"unit":"token_accounting","plainTokens":200,"ratePerS":391650,"burst":391650}}]}}"#
    )
}

/// A request that was sent with the key that is taken away.
#[derive(Clone, Debug)]
struct Sent {
    at: Instant,
    id: String,
    status: u16,
}

/// Send a request with a key every 100 ms to the hosts by turns, until told to stop.
fn send_all(
    key: &'static str,
    callers: Vec<std::net::SocketAddr>,
    stop: &Arc<AtomicBool>,
    record: &Record,
) -> (Arc<Mutex<Vec<Sent>>>, std::thread::JoinHandle<()>) {
    let sent = Arc::new(Mutex::new(Vec::new()));
    let (shared, stop, record) = (Arc::clone(&sent), Arc::clone(stop), record.clone());
    let task = std::thread::spawn(move || {
        let mut number = 0;
        while !stop.load(Ordering::SeqCst) {
            let id = format!("{}-{number}", &key[..4]);
            let at = Instant::now();
            let call = Call::new("GET", "/status/1")
                .with("Host", "case.example")
                .with("Request-Id", &id)
                .with("Deadline-Ms", "600")
                .with("Authorization", &format!("Bearer {key}"));
            let answer = call.send(
                callers[number % callers.len()],
                Duration::from_millis(600),
                |_, _| {},
            );
            let status = answer.map_or(0, |(head, _)| head.status());
            record.note_at(at, &format!("{id} is sent and answered {status}"));
            shared.lock().unwrap().push(Sent { at, id, status });
            number += 1;
            std::thread::sleep(Duration::from_millis(100));
        }
    });
    (sent, task)
}

pub fn run(setup: &CaseSetup) -> Result<Verdict, String> {
    let record = &setup.record;
    let store = Store::start();
    store.put("op/config", &config(7, &[KEPT_KEY, LOST_KEY]));
    let workers: Vec<Worker> = ["espoo-hall", "vantaa-hall", "kerava-hall"]
        .iter()
        .enumerate()
        .map(|(number, zone)| {
            let options = WorkerOptions {
                id: format!("i-desk000{number}"),
                service: "case-desk",
                zone,
                version: "v1",
                slots: 6,
                queue: 24,
                kind: WorkerKind::Plain(Duration::from_millis(15)),
                cold_crash: usize::MAX,
            };
            Worker::start(options, record)
        })
        .collect();
    for worker in &workers {
        worker.register(&store);
    }
    let spec = HostSpec {
        store: store.address,
        folder: setup.folder.clone(),
        zones: vec!["espoo-hall", "vantaa-hall", "kerava-hall"],
        bounds: "",
    };
    let mut hosts = start_hosts(3, &spec, record)?;
    let callers: Vec<_> = hosts.iter().map(|host| host.callers).collect();
    let stop = Arc::new(AtomicBool::new(false));
    let (lost, lost_task) = send_all(LOST_KEY, callers.clone(), &stop, record);
    let (kept, kept_task) = send_all(KEPT_KEY, callers, &stop, record);
    std::thread::sleep(Duration::from_millis(3_500));
    let taken = config(9, &[KEPT_KEY]);
    store.put("op/config", &taken);
    let acknowledged = Instant::now();
    record.note("version 9, without the key, is acknowledged");
    std::thread::sleep(REVOKE + Duration::from_millis(500));
    if setup.is_troubled {
        record.note("the store goes away, and all hosts are killed");
        store.set_down(true);
        for host in &mut hosts {
            host.kill(record);
        }
        std::thread::sleep(AWAY);
        store.restore(COPY_AGE);
        store.set_down(false);
        record.note("the store is back from a copy");
        for host in &mut hosts {
            host.start(record)?;
        }
        std::thread::sleep(REWRITE);
        store.put("op/config", &taken);
        for worker in &workers {
            worker.register(&store);
        }
        record.note("the operator and the workers have written again");
    }
    std::thread::sleep(Duration::from_secs(4));
    stop.store(true, Ordering::SeqCst);
    let _ = (lost_task.join(), kept_task.join());
    let arrivals: Vec<_> = workers.iter().flat_map(Worker::arrivals).collect();
    let has_run = |id: &str| {
        arrivals
            .iter()
            .any(|found| found.request == id && found.has_run)
    };
    let lost = lost.lock().unwrap();
    let late = lost.iter().filter(|sent| sent.at > acknowledged + REVOKE);
    let late: Vec<&Sent> = late.filter(|sent| has_run(&sent.id)).collect();
    let before = lost
        .iter()
        .filter(|sent| sent.at < acknowledged && sent.status == 200);
    if before.count() < 10 {
        return Err("the key did not work before it was taken away".to_owned());
    }
    let kept = kept.lock().unwrap();
    let served = kept.iter().filter(|sent| sent.status == 200).count();
    record.conclude(&format!(
        "{served} of {} requests of the other key served",
        kept.len()
    ));
    for sent in &late {
        let span = (sent.at - acknowledged).as_secs_f64();
        record.note(&format!(
            "{} ran, sent {span:.2} s after the acknowledgement, answered {}",
            sent.id, sent.status
        ));
    }
    record.conclude(&format!(
        "{} requests ran with the key, sent over 5 s after it was taken away",
        late.len()
    ));
    Ok(match late.is_empty() {
        true => Verdict::Held,
        false => Verdict::Broken,
    })
}
