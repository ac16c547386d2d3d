//! Provides the demo's failure scenarios: refusals, retries, overload,
//! unresponsive connections and a resubmission.

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

/// The delay after which a stream of [`LONG_OUTPUT_TOKENS`] tokens has started
/// but not ended.
const STREAM_START_DELAY: Duration = Duration::from_millis(150);

/// A number of output tokens that takes an engine more than half a second.
const LONG_OUTPUT_TOKENS: u32 = 240;

/// The number of calls sent while targets refuse, enough for every target to be
/// selected at least once.
const REFUSAL_CALL_COUNT: usize = 6;

/// The number of calls in a burst, more than the concurrency limit of a
/// deployment's services (3 * 64).
const BURST_CALL_COUNT: usize = 240;

/// The tier of the catch-all rule.
const CATCH_ALL_TIER: u8 = 6;

/// A `FailureScenario` is a call, the title under which it is reported and the
/// tier that it is assigned, if any.
struct FailureScenario {
    title: &'static str,
    tier: Option<u8>,
    call: DemoCall,
}

/// Run all scenarios one after the other and report their results.
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

/// Get the scenarios in which an invalid call is refused.
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

/// Publish the rules without the last one, the catch-all, and send a call that
/// no other rule matches; then restore the rules and send it again.
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

/// Make all targets but one refuse requests. Their contract states that a
/// refused request has not run, so the calls are retried on another target.
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

/// Send more concurrent calls than slow services accept, with a deadline that
/// expires while some of them are queued.
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

/// Make all open connections to the engines unresponsive during a stream. New
/// connections work.
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
    let title = "connections unresponsive during a stream";
    report.add(title, Some(call.tier), &[outcome], change);
    Ok(())
}

/// Resubmit a call that must not be dispatched twice to another host.
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
        true => "resubmitted to another host: same answer",
        false => "resubmitted to another host: DIFFERENT ANSWER",
    };
    report.add(title, Some(call.tier), &[first, second], change);
    Ok(())
}

/// Send `count` calls of a scenario concurrently, spread over the hosts, and
/// report the outcomes with the change of the hosts' counters.
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
