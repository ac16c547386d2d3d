//! Provides the `demo` command, which runs both example deployments on loopback
//! in one process.
//!
//! The platform and the targets are simulated. Three entry hosts run as they do
//! under `serve`, and every request is a real HTTP request.

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

/// The timeout for a host to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// The interval at which a host's readiness is polled.
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
        "\n{}: {} hosts, {} targets, ready after {} ms",
        deployment.name,
        hosts.len(),
        fleet.target_count(),
        started_at.elapsed().as_millis()
    );
    let before = FleetCounters::read(&hosts).await?;
    let report = send_all(&hosts, deployment.calls).await?;
    let change = FleetCounters::read(&hosts).await? - before;
    println!("\n  all kinds of work, all calls sent concurrently");
    print!("{report}");
    println!("  retried attempts: {}", change.retried);
    let scenario_report = scenarios::run_all(&fleet, deployment).await?;
    println!("\n  failure scenarios");
    print!("{scenario_report}");
    println!("\n  host counters (GET /metrics; series with value 0 are omitted)");
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

/// Wait until a host is ready to serve.
///
/// # Errors
///
/// Returns [`CommandError::Answer`] if the host is not ready within
/// `READY_TIMEOUT`.
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
    waited.map_err(|_| {
        CommandError::Answer(format!(
            "{address} did not become ready within {READY_TIMEOUT:?}"
        ))
    })
}

/// Send all calls concurrently, each to the host that `/v1/address` returns.
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
