//! Measures the latency that one host adds to a call, by sending the same
//! calls directly to a stand-in target and through one entry host.
//!
//! The caller, the host and the platform stand-in run on a thread each, as
//! they run in separate processes in production. The target is configured to
//! answer as fast as it can, so that its own latency doesn't hide the
//! overhead.

use std::error::Error;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::mpsc;
use std::thread;
use std::time::{Duration, Instant};

use bergamotswitch::command::demo::{deployment_directory, wait_ready};
use bergamotswitch::core::settings::HostSettings;
use bergamotswitch::net::node::{HostNode, NodeSetup};
use bergamotswitch_standin::platform::{PlatformOptions, PlatformStandin};
use bergamotswitch_standin::stage::StagedDeployment;
use bytes::Bytes;
use hdrhistogram::Histogram;
use http::Request;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use serde_json::{Value, json};
use tokio::net::TcpStream;
use tokio::runtime::{Builder, Runtime};
use tokio::task::JoinSet;

/// The rounds of one table row. Direct and proxied rounds alternate, so that
/// other load on the machine affects both.
const ROUNDS: usize = 5;
/// The concurrency of a table row, and its calls in each round.
const CALLS_PER_ROUND: [(usize, usize); 2] = [(1, 60), (16, 480)];

/// Calls that aren't recorded: they fill caches and raise the owner's adaptive
/// limits.
const WARM_UP_CALLS: usize = 64;

/// The highest latency that a histogram records.
const MAX_MICROS: u64 = 60_000_000;

type AnyError = Box<dyn Error + Send + Sync>;

/// A `MeasuredCall` is a request that is sent both to the host and directly to
/// the target.
#[derive(Clone)]
struct MeasuredCall {
    name: &'static str,
    host_path: &'static str,
    target_path: &'static str,
    target: SocketAddr,
    body: Bytes,
}

/// A `CallRoute` is the address and path that a call is sent to.
#[derive(Clone)]
struct CallRoute {
    address: SocketAddr,
    path: &'static str,
    body: Bytes,
}

fn main() -> Result<(), AnyError> {
    let stage = StagedDeployment::try_new(&deployment_directory("red-austral"))?;
    let calls = reduce_stage(stage.directory())?;
    let settings = read_settings(&stage)?;
    let host = settings.caller_address;
    start_platform(&stage, &settings)?;
    thread::Builder::new()
        .name("host".to_owned())
        .spawn(move || run_host(settings))?;
    let runtime = runtime()?;
    runtime.block_on(async {
        wait_ready(host).await?;
        measure_all(host, &calls).await
    })
}

fn runtime() -> Result<Runtime, AnyError> {
    Ok(Builder::new_current_thread().enable_all().build()?)
}

/// Reduce the staged deployment to one host, one engine and one plain service,
/// with both targets at their fastest.
fn reduce_stage(directory: &Path) -> Result<Vec<MeasuredCall>, AnyError> {
    let mut hosts = read_json(&directory.join("hosts.json"))?;
    keep_first(&mut hosts["hosts"]);
    std::fs::write(directory.join("hosts.json"), hosts.to_string())?;
    let mut pools = read_json(&directory.join("pools.json"))?;
    let mut addresses = Vec::new();
    for pool in pools["pools"].as_array_mut().into_iter().flatten() {
        keep_first(&mut pool["targets"]);
        let target = &mut pool["targets"][0];
        target["expected_speed"] = 20_000.into();
        target["token_limit"] = 131_072.into();
        addresses.push(target["address"].as_str().unwrap_or_default().parse()?);
    }
    std::fs::write(directory.join("pools.json"), pools.to_string())?;
    let chat = json!({
        "model": "bolido-llm",
        "messages": [{ "role": "user", "content": "Where did it fall?" }],
        "max_tokens": 4,
    });
    Ok(vec![
        MeasuredCall {
            name: "completion of 4 tokens",
            host_path: "/v1/chat/completions",
            target_path: "/v1/chat/completions",
            target: addresses[0],
            body: Bytes::from(chat.to_string()),
        },
        MeasuredCall {
            name: "plain call",
            host_path: "/v1/services/red-app/status",
            target_path: "/status",
            target: addresses[1],
            body: Bytes::from_static(b"{\"crew\": 7}"),
        },
    ])
}

fn keep_first(list: &mut Value) {
    if let Some(list) = list.as_array_mut() {
        list.truncate(1);
    }
}

fn read_json(path: &Path) -> Result<Value, AnyError> {
    Ok(serde_json::from_str(&std::fs::read_to_string(path)?)?)
}

fn read_settings(stage: &StagedDeployment) -> Result<HostSettings, AnyError> {
    let path = stage.settings_directory().join("mza-norte-1.json");
    let settings = HostSettings::try_from_json(&std::fs::read_to_string(path)?);
    Ok(settings.map_err(|findings| findings.to_string())?)
}

fn start_platform(stage: &StagedDeployment, settings: &HostSettings) -> Result<(), AnyError> {
    let opts = PlatformOptions {
        deployment: stage.directory().to_owned(),
        configuration: settings.configuration_services[0],
        host_list: settings.host_lists[0],
        control: None,
        seed: 1,
    };
    let (started, started_receiver) = mpsc::channel();
    let platform = thread::Builder::new().name("platform".to_owned());
    platform.spawn(move || {
        let run = || -> Result<(), AnyError> {
            runtime()?.block_on(async {
                let platform = PlatformStandin::try_start(&opts).await?;
                let _ = started.send(());
                std::future::pending::<()>().await;
                drop(platform);
                Ok(())
            })
        };
        if let Err(error) = run() {
            eprintln!("platform: {error}");
        }
    })?;
    Ok(started_receiver.recv()?)
}

fn run_host(settings: HostSettings) {
    let run = || -> Result<(), AnyError> {
        runtime()?.block_on(async {
            let node = HostNode::try_new(NodeSetup::try_new(settings)?)?;
            node.run().await;
            Ok(())
        })
    };
    if let Err(error) = run() {
        eprintln!("host: {error}");
    }
}

async fn measure_all(host: SocketAddr, calls: &[MeasuredCall]) -> Result<(), AnyError> {
    println!("all times in ms; added: proxied minus direct, at the same percentile\n");
    println!("| call | concurrency | direct p50 | p99 | proxied p50 | p99 | added p50 | p99 |");
    println!("|---|---:|---:|---:|---:|---:|---:|---:|");
    for call in calls {
        let direct = CallRoute {
            address: call.target,
            path: call.target_path,
            body: call.body.clone(),
        };
        let proxied = CallRoute {
            address: host,
            path: call.host_path,
            body: call.body.clone(),
        };
        run_round(&direct, 4, WARM_UP_CALLS).await?;
        run_round(&proxied, 4, WARM_UP_CALLS).await?;
        for (concurrency, count) in CALLS_PER_ROUND {
            let mut times = [histogram()?, histogram()?];
            for _ in 0..ROUNDS {
                times[0].add(run_round(&direct, concurrency, count).await?)?;
                times[1].add(run_round(&proxied, concurrency, count).await?)?;
            }
            print_row(call.name, concurrency, &times);
        }
    }
    Ok(())
}

fn histogram() -> Result<Histogram<u64>, AnyError> {
    Ok(Histogram::new_with_bounds(1, MAX_MICROS, 3)?)
}

fn print_row(name: &str, concurrency: usize, times: &[Histogram<u64>; 2]) {
    let millis =
        |index: usize, quantile: f64| times[index].value_at_quantile(quantile) as f64 / 1_000.0;
    let [direct, proxied] = [0, 1].map(|index| [millis(index, 0.5), millis(index, 0.99)]);
    println!(
        "| {name} | {concurrency} | {:.2} | {:.2} | {:.2} | {:.2} | {:.2} | {:.2} |",
        direct[0],
        direct[1],
        proxied[0],
        proxied[1],
        proxied[0] - direct[0],
        proxied[1] - direct[1]
    );
}

/// Make `count` calls over `concurrency` keep-alive connections.
async fn run_round(
    route: &CallRoute,
    concurrency: usize,
    count: usize,
) -> Result<Histogram<u64>, AnyError> {
    let mut callers = JoinSet::new();
    for _ in 0..concurrency {
        callers.spawn(call_repeatedly(route.clone(), count / concurrency));
    }
    let mut times = histogram()?;
    while let Some(joined) = callers.join_next().await {
        times.add(joined??)?;
    }
    Ok(times)
}

async fn call_repeatedly(route: CallRoute, count: usize) -> Result<Histogram<u64>, AnyError> {
    let stream = TcpStream::connect(route.address).await?;
    stream.set_nodelay(true)?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    let driver = tokio::spawn(connection);
    let mut times = histogram()?;
    for _ in 0..count {
        let elapsed = call_once(&mut sender, &route).await?;
        times.record(u64::try_from(elapsed.as_micros())?)?;
    }
    driver.abort();
    Ok(times)
}

async fn call_once(
    sender: &mut SendRequest<Full<Bytes>>,
    route: &CallRoute,
) -> Result<Duration, AnyError> {
    let request = Request::post(route.path)
        .header("host", route.address.to_string())
        .header(
            "authorization",
            "Bearer red-austral-demo-observatorio-pampa",
        )
        .header("content-type", "application/json")
        .body(Full::new(route.body.clone()))?;
    sender.ready().await?;
    let start = Instant::now();
    let response = sender.send_request(request).await?;
    let status = response.status();
    let body = response.into_body().collect().await?.to_bytes();
    let elapsed = start.elapsed();
    match status.is_success() && !body.is_empty() {
        true => Ok(elapsed),
        false => Err(format!("{status}: {}", String::from_utf8_lossy(&body)).into()),
    }
}
