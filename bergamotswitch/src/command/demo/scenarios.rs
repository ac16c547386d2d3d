//! Provides what the demo provokes on purpose: refusals, a retry, a silent
//! connection and a resubmission.

use std::time::Duration;

use bergamotswitch_core::revision::{POOLS_VALUE, RULES_VALUE};
use serde_json::{Value, json};
use tokio::task::JoinSet;

use super::calls::{CallOutcome, DemoCall, DemoDeployment};
use super::counters::FleetCounters;
use super::exchange::resolve_host;
use super::fleet::DemoFleet;
use super::report::ScenarioReport;
use crate::command::error::CommandError;

/// The pause after which a stream of [`LONG_OUTPUT_TOKENS`] is well under way.
const STREAM_START_DELAY: Duration = Duration::from_millis(150);

/// Output tokens that take an engine more than half a second.
const LONG_OUTPUT_TOKENS: u32 = 240;

/// How many calls meet the refusing services: enough for each to be the best
/// choice for some call.
const REFUSAL_CALL_COUNT: usize = 6;

/// More calls than the services of a deployment hold at once, 3 by 64.
const BURST_CALL_COUNT: usize = 240;

/// The tier of the rule that matches whatever no other one does.
const CATCH_ALL_TIER: u8 = 6;

/// A `FailureScenario` is calls of one kind and what they are to show.
struct FailureScenario {
    title: &'static str,
    tier: Option<u8>,
    call: DemoCall,
}

/// Provoke everything, one after the other, and report what came of it.
pub(super) async fn run_all(
    fleet: &DemoFleet,
    deployment: &DemoDeployment,
) -> Result<ScenarioReport, CommandError> {
    let mut report = ScenarioReport::default();
    for scenario in refused_scenarios(deployment) {
        run_scenario(fleet, &scenario, 1, &mut report).await?;
    }
    run_without_catch_all(fleet, deployment, &mut report).await?;
    run_with_refusing_targets(fleet, deployment, &mut report).await?;
    run_with_unresponsive_connections(fleet, deployment, &mut report).await?;
    run_burst(fleet, deployment, &mut report).await?;
    run_resubmission(fleet, deployment, &mut report).await?;
    Ok(report)
}

/// Get the cases that need nothing but a call.
fn refused_scenarios(deployment: &DemoDeployment) -> [FailureScenario; 3] {
    let call = DemoCall {
        streaming: false,
        ..deployment.urgent_stream()
    };
    let scenario = |title, call| FailureScenario {
        title,
        tier: None,
        call,
    };
    [
        scenario(
            "a key of no account",
            DemoCall {
                key: "no-such-key",
                ..call
            },
        ),
        scenario(
            "a pool that is not published",
            DemoCall {
                pool: "no-such-pool",
                ..call
            },
        ),
        scenario(
            "a deadline that has passed",
            DemoCall {
                fields: &[("bergamot-deadline-ms", "0")],
                ..call
            },
        ),
    ]
}

/// Publish rules without the last one, which matches anything, and ask for
/// work that no other rule knows; then publish the former rules again.
async fn run_without_catch_all(
    fleet: &DemoFleet,
    deployment: &DemoDeployment,
    report: &mut ScenarioReport,
) -> Result<(), CommandError> {
    let rules = fleet.value(RULES_VALUE)?;
    let mut without_catch_all = rules.clone();
    without_catch_all["rules"].as_array_mut().and_then(Vec::pop);
    let call = DemoCall {
        work: "work-of-no-rule",
        ..deployment.repeatable_service()
    };
    let scenario = |title, tier| FailureScenario { title, tier, call };
    fleet.publish(RULES_VALUE, &without_catch_all).await?;
    let unmatched = scenario("work of no rule, catch-all unpublished", None);
    run_scenario(fleet, &unmatched, 1, report).await?;
    fleet.publish(RULES_VALUE, &rules).await?;
    let matched = scenario(
        "the same work, catch-all published again",
        Some(CATCH_ALL_TIER),
    );
    run_scenario(fleet, &matched, 1, report).await
}

/// Let all targets but one refuse. Their contract says that a refusal means
/// not run, so the calls are tried again elsewhere.
async fn run_with_refusing_targets(
    fleet: &DemoFleet,
    deployment: &DemoDeployment,
    report: &mut ScenarioReport,
) -> Result<(), CommandError> {
    let call = deployment.repeatable_service();
    let mut refusing = target_names(fleet, call.pool)?;
    refusing.pop();
    fleet.set(&refusing, &json!({ "refuse": 503 })).await?;
    let scenario = FailureScenario {
        title: "all services but one refuse",
        tier: Some(call.tier),
        call,
    };
    run_scenario(fleet, &scenario, REFUSAL_CALL_COUNT, report).await?;
    fleet.set(&refusing, &json!({ "refuse": null })).await
}

/// Send more calls at once than slow services hold, with a deadline that
/// passes while the last ones wait.
async fn run_burst(
    fleet: &DemoFleet,
    deployment: &DemoDeployment,
    report: &mut ScenarioReport,
) -> Result<(), CommandError> {
    let call = DemoCall {
        fields: &[("bergamot-deadline-ms", "200")],
        ..deployment.repeatable_service()
    };
    let targets = target_names(fleet, call.pool)?;
    fleet.set(&targets, &json!({ "delay_ms": 500 })).await?;
    let scenario = FailureScenario {
        title: "a burst at slow services, deadline 200 ms",
        tier: Some(call.tier),
        call,
    };
    run_scenario(fleet, &scenario, BURST_CALL_COUNT, report).await?;
    fleet.set(&targets, &json!({ "delay_ms": 2 })).await
}

/// Let every connection that is open to an engine go silent while a stream is
/// under way. New connections work.
async fn run_with_unresponsive_connections(
    fleet: &DemoFleet,
    deployment: &DemoDeployment,
    report: &mut ScenarioReport,
) -> Result<(), CommandError> {
    let call = DemoCall {
        max_tokens: LONG_OUTPUT_TOKENS,
        ..deployment.urgent_stream()
    };
    let targets = target_names(fleet, call.pool)?;
    let hosts = fleet.addresses();
    let before = FleetCounters::read(&hosts).await?;
    let host = resolve_host(hosts[0], call.key).await?;
    let calls = tokio::task::spawn_local(async move { call.send(host, "silent").await });
    tokio::time::sleep(STREAM_START_DELAY).await;
    fleet.set(&targets, &json!({ "silent": "open" })).await?;
    let outcome = calls.await;
    let outcome = outcome.map_err(|error| CommandError::Answer(error.to_string()))??;
    fleet.set(&targets, &json!({ "silent": "off" })).await?;
    let change = FleetCounters::read(&hosts).await? - before;
    let title = "connections go silent in a stream";
    report.add(title, Some(call.tier), &[outcome], change);
    Ok(())
}

/// Send a call that must not be dispatched twice again, at another host.
async fn run_resubmission(
    fleet: &DemoFleet,
    deployment: &DemoDeployment,
    report: &mut ScenarioReport,
) -> Result<(), CommandError> {
    let call = deployment.dispatched_once();
    let hosts = fleet.addresses();
    let before = FleetCounters::read(&hosts).await?;
    let host = resolve_host(hosts[0], call.key).await?;
    let other = hosts.iter().copied().find(|other| *other != host);
    let first = call.send(host, "again").await?;
    let fields = [
        ("bergamot-incarnation", first.incarnation.as_str()),
        ("bergamot-resubmission", "true"),
    ];
    let second = call.send_with(other.unwrap_or(host), "again", &fields);
    let second = second.await?;
    let change = FleetCounters::read(&hosts).await? - before;
    let title = match second.complete && first.text == second.text {
        true => "sent again at another host: same answer",
        false => "sent again at another host: OTHER ANSWER",
    };
    report.add(title, Some(call.tier), &[first, second], change);
    Ok(())
}

/// Send a case's calls at once, spread over the hosts, and report them with
/// what the hosts counted meanwhile.
async fn run_scenario(
    fleet: &DemoFleet,
    scenario: &FailureScenario,
    count: usize,
    report: &mut ScenarioReport,
) -> Result<(), CommandError> {
    let hosts = fleet.addresses();
    let before = FleetCounters::read(&hosts).await?;
    let mut calls = JoinSet::new();
    for number in 0..count {
        let (call, host) = (scenario.call, hosts[number % hosts.len()]);
        let key = format!("{}-{number}", scenario.title.replace([' ', ','], "-"));
        calls.spawn_local(async move { call.send(host, &key).await });
    }
    let outcomes = collect(calls).await?;
    let change = FleetCounters::read(&hosts).await? - before;
    report.add(scenario.title, scenario.tier, &outcomes, change);
    Ok(())
}

async fn collect(
    mut calls: JoinSet<Result<CallOutcome, CommandError>>,
) -> Result<Vec<CallOutcome>, CommandError> {
    let mut outcomes = Vec::new();
    while let Some(joined) = calls.join_next().await {
        let outcome = joined.map_err(|error| CommandError::Answer(error.to_string()))?;
        outcomes.push(outcome?);
    }
    Ok(outcomes)
}

fn target_names(fleet: &DemoFleet, pool: &str) -> Result<Vec<String>, CommandError> {
    let pools = fleet.value(POOLS_VALUE)?;
    let named = |value: &&Value| value["name"] == pool;
    let pools = pools["pools"].as_array();
    let pool = pools.and_then(|pools| pools.iter().find(named));
    let targets = pool.and_then(|pool| pool["targets"].as_array());
    let names = targets.into_iter().flatten();
    let names = names.filter_map(|target| target["name"].as_str());
    Ok(names.map(str::to_owned).collect())
}
