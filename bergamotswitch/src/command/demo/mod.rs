//! Provides `demo`: both deployments on loopback, in one process.
//!
//! Stand-ins take the platform's and the targets' places; three entry hosts
//! run as they do under `serve`. Every request is real HTTP.

pub mod calls;
mod counters;
mod exchange;
mod fleet;
mod report;
mod scenarios;

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::{Duration, Instant};

use tokio::task::{JoinSet, LocalSet};

use self::calls::{CallOutcome, DemoCall, DemoDeployment};
use self::counters::FleetCounters;
use self::fleet::DemoFleet;
use self::report::DemoReport;
use super::error::CommandError;
use super::{client, serve};

/// How long the hosts have to become ready. They need well under a second;
/// a slow machine is no fault of the demo.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// How long to wait between two looks at a host's health.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Run the demo for both deployments.
pub(super) fn demo() -> Result<ExitCode, CommandError> {
    let runtime = serve::runtime()?;
    let tasks = LocalSet::new();
    for deployment in calls::DEPLOYMENTS {
        tasks.block_on(&runtime, run_deployment(&deployment))?;
    }
    Ok(ExitCode::SUCCESS)
}

/// Get the directory of a deployment's files in the source tree.
pub fn deployment_directory(name: &str) -> PathBuf {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    root.join("../deployments").join(name)
}

async fn run_deployment(deployment: &DemoDeployment) -> Result<(), CommandError> {
    let started_at = Instant::now();
    let fleet = DemoFleet::try_start(&deployment_directory(deployment.name)).await?;
    let hosts = fleet.addresses();
    println!(
        "\n{}: {} hosts, {} targets, serving after {} ms",
        deployment.name,
        hosts.len(),
        fleet.target_count(),
        started_at.elapsed().as_millis()
    );
    let before = FleetCounters::read(&hosts).await?;
    let report = send_all(&hosts, deployment.calls).await?;
    let change = FleetCounters::read(&hosts).await? - before;
    println!("\n  each kind of work, all calls at once");
    print!("{report}");
    println!("  retried meanwhile: {}", change.retried);
    let scenario_report = scenarios::run_all(&fleet, deployment).await?;
    println!("\n  provoked on purpose");
    print!("{scenario_report}");
    println!("\n  what the hosts counted (GET /metrics; series of value 0 are left out)");
    for host in hosts {
        let metrics = client::get(host, "/metrics").await?;
        report::print_counters(&String::from_utf8_lossy(&metrics.body), host);
    }
    let stop_started_at = Instant::now();
    fleet.stop().await?;
    println!(
        "\n  planned stop of all hosts: {} ms",
        stop_started_at.elapsed().as_millis()
    );
    Ok(())
}

/// Wait until a host serves.
///
/// # Errors
///
/// Returns [`CommandError::Answer`] where it does not within
/// [`READY_TIMEOUT`].
pub async fn wait_ready(address: SocketAddr) -> Result<(), CommandError> {
    let ready = async {
        loop {
            if let Ok(answer) = client::get(address, "/status").await
                && let Ok(view) = serde_json::from_slice::<serde_json::Value>(&answer.body)
                && view["ready"] == true
            {
                return;
            }
            tokio::time::sleep(READY_POLL_INTERVAL).await;
        }
    };
    let waited = tokio::time::timeout(READY_TIMEOUT, ready).await;
    waited.map_err(|_| CommandError::Answer(format!("{address} did not become ready")))
}

/// Send every call, all at once, each to the host that the system names.
async fn send_all(hosts: &[SocketAddr], calls: &[DemoCall]) -> Result<DemoReport, CommandError> {
    let mut sent = JoinSet::new();
    let mut report = DemoReport::default();
    for call in calls {
        for number in 0..call.count {
            let first = hosts[number % hosts.len()];
            let (call, key) = (*call, format!("{}-{number}", call.work));
            sent.spawn_local(async move {
                let host = calls::resolve_host(first, call.key).await?;
                let outcome = call.send(host, &key).await?;
                Ok::<(DemoCall, CallOutcome), CommandError>((call, outcome))
            });
        }
    }
    while let Some(joined) = sent.join_next().await {
        let outcome = joined.map_err(|error| CommandError::Answer(error.to_string()))?;
        let (call, outcome) = outcome?;
        report.add(&call, outcome);
    }
    Ok(report)
}
