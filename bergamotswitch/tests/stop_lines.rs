//! Tests of the log lines of a stopping host, about itself and about the requests
//! that it ends.

mod users;

use std::collections::BTreeSet;
use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::time::Duration;

use bergamotswitch_standin::gateway_target::ResponseMode;
use serde_json::Value;
use tokio::task::JoinHandle;
use users::host_child::{HostChild, PlannedStop};
use users::{Call, Site, SiteOptions, until};

/// The grace period of the stopping host.
const GRACE: Duration = Duration::from_secs(3);
/// The number of requests that are open at the end of the grace period: four times
/// the limit of log lines per interval.
const OPEN: usize = 200;
const OPEN_PREFIX: &str = "open-";
/// The deadline of the calls, much longer than the grace period.
const DEADLINE_MS: &str = "30000";

/// The warm-up calls, after which a new target is given its full load.
const WARM_UP_ROUNDS: usize = 10;
const WARM_UP_CONCURRENCY: usize = 8;

const HOST_STOPPED: u64 = 103;
const LINES_DROPPED: u64 = 107;
const GRACE_ENDING: u64 = 109;
const REQUEST_ENDED: u64 = 206;
const REQUEST_OPEN: u64 = 207;

/// A `LogFile` is a file for a host's log lines. It is removed when dropped.
struct LogFile(PathBuf);

impl Drop for LogFile {
    fn drop(&mut self) {
        // The file may have been removed already.
        let _ = std::fs::remove_file(&self.0);
    }
}

impl LogFile {
    /// Get the log file in the directory of a host's settings file.
    fn beside(settings: &Path) -> Self {
        LogFile(settings.with_extension("lines"))
    }

    fn output(&self) -> Stdio {
        File::create(&self.0).expect("log file").into()
    }

    /// Get the log lines in JSON, each with its event number.
    fn lines(&self) -> Vec<(u64, Value)> {
        let text = std::fs::read_to_string(&self.0).expect("log file");
        let lines = text.lines().filter(|line| line.starts_with('{'));
        let lines = lines.map(|line| {
            let line: Value = serde_json::from_str(line).expect("a whole line");
            let number = line["kv"]["event"].as_u64();
            (number.or(line["event"].as_u64()).unwrap_or_default(), line)
        });
        lines.collect()
    }
}

/// Get the ids of the open requests in the log lines of one event number.
fn requests(lines: &[(u64, Value)], number: u64) -> BTreeSet<String> {
    let lines = lines.iter().filter(|(found, _)| *found == number);
    let ids = lines.filter_map(|(_, line)| line["kv"]["request"].as_str());
    let ids = ids.filter(|id| id.starts_with(OPEN_PREFIX));
    ids.map(str::to_owned).collect()
}

/// Start a site of one host whose standard output goes to `output`, with slots for all
/// open requests.
async fn start_site_to(output: impl FnOnce(&Path) -> Stdio) -> Site {
    let options = SiteOptions {
        events: 400,
        gap: Duration::from_millis(100),
        slots: OPEN as u32,
        target_latency: Duration::from_secs(5),
        timeout: Duration::from_secs(60),
        grace: GRACE,
        ..SiteOptions::default()
    };
    let mut site = Site::start_with(options).await;
    let host = &mut site.hosts[0];
    host.child.kill();
    let output = output(&host.settings);
    host.child = HostChild::start_to(host.settings.clone(), output);
    site.wait_all_ready().await;
    site
}

/// Start requests that do not end within the grace period: one half are streams, the
/// other half are calls without an answer.
async fn start_open_requests(site: &Site) -> Vec<JoinHandle<()>> {
    warm_up(site).await;
    for desk in &site.desks {
        desk.queue_responses(&vec![ResponseMode::NoResponse; OPEN]);
    }
    let before = run_count(site);
    let address = site.address();
    let calls = (0..OPEN).map(|number| {
        let id = format!("{OPEN_PREFIX}{number}");
        let call = match number % 2 {
            0 => Call::stream("/once/1", &id),
            _ => Call::new("POST", "/receipt/1", &id),
        };
        let call = call.with("deadline-ms", DEADLINE_MS);
        // The answers are covered by other tests.
        tokio::spawn(async move { drop(call.send(address).await) })
    });
    let calls = calls.collect();
    until("all requests run", async || {
        run_count(site) == before + OPEN
    })
    .await;
    calls
}

/// Run short calls, since a new target gets only a few calls at first.
async fn warm_up(site: &Site) {
    for round in 0..WARM_UP_ROUNDS {
        let calls = (0..WARM_UP_CONCURRENCY).map(|number| {
            let id = format!("before-{round}-{number}");
            let call = match number % 2 {
                0 => Call::stream("/once/1?events=1", &id),
                _ => Call::new("POST", "/receipt/1", &id),
            };
            tokio::spawn(call.send(site.address()))
        });
        for answer in calls.collect::<Vec<_>>() {
            let answer = answer.await.expect("call").expect("answer");
            assert!(answer.whole && answer.status.is_success(), "{answer:?}");
        }
    }
}

/// Count the calls that targets have run.
fn run_count(site: &Site) -> usize {
    let targets = site.engines.iter().chain(&site.desks);
    let seen = targets.flat_map(|target| target.calls());
    seen.filter(|call| call.ran).count()
}

// Guards against missing log lines when a host ends many requests at once: each has
// to be logged, and so has the host's own end, despite the limit of log lines per
// interval.
#[tokio::test]
async fn all_told() {
    let mut log = None;
    let mut site = start_site_to(|settings| {
        let file = log.insert(LogFile::beside(settings));
        file.output()
    })
    .await;
    let log = log.expect("log file");
    let calls = start_open_requests(&site).await;
    let stop = PlannedStop::begin(site.hosts.remove(0).child, GRACE);
    assert!(stop.end().await.is_clean());
    for call in calls {
        call.await.expect("call");
    }
    let lines = log.lines();
    let numbers: Vec<u64> = lines.iter().map(|(number, _)| *number).collect();
    assert_eq!(requests(&lines, REQUEST_OPEN).len(), OPEN, "{numbers:?}");
    assert_eq!(requests(&lines, REQUEST_ENDED).len(), OPEN, "{numbers:?}");
    assert!(numbers.contains(&GRACE_ENDING), "{numbers:?}");
    assert!(!numbers.contains(&LINES_DROPPED), "{numbers:?}");
    assert_eq!(numbers.last(), Some(&HOST_STOPPED), "{numbers:?}");
}

// Guards against a host that exits before its last log lines have been written.
#[tokio::test]
async fn exit_logged() {
    let mut log = None;
    let mut site = start_site_to(|settings| {
        let file = log.insert(LogFile::beside(settings));
        file.output()
    })
    .await;
    let log = log.expect("log file");
    let stop = PlannedStop::begin(site.hosts.remove(0).child, GRACE);
    assert!(stop.end().await.is_clean());
    let lines = log.lines();
    let numbers: Vec<u64> = lines.iter().map(|(number, _)| *number).collect();
    assert_eq!(numbers.last(), Some(&HOST_STOPPED), "{numbers:?}");
}

// Guards against a host that is killed because its last write to the log blocks
// while nothing reads the log.
#[tokio::test]
async fn unread_log() {
    let mut site = start_site_to(|_| Stdio::piped()).await;
    let calls = start_open_requests(&site).await;
    let stop = PlannedStop::begin(site.hosts.remove(0).child, GRACE);
    assert!(stop.end().await.is_clean());
    for call in calls {
        call.await.expect("call");
    }
}
