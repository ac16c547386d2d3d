//! Provides what the demo provokes on purpose: refusals, a retry, a silent
//! connection and a resubmission.

use std::time::Duration;

use bergamotswitch_core::revision::{POOLS_VALUE, RULES_VALUE};
use serde_json::{Value, json};
use tokio::task::JoinSet;

use super::calls::{CallOutcome, DemoCall, DemoDeployment};
use super::counters::FleetCounters;
use super::exchange::ask_address;
use super::fleet::DemoFleet;
use super::report::ProvokedReport;
use crate::command::error::CommandError;

/// The pause after which a stream of [`LONG_OUTPUT`] is well under way.
const UNDER_WAY: Duration = Duration::from_millis(150);

/// Output tokens that take an engine more than half a second.
const LONG_OUTPUT: u32 = 240;

/// How many calls meet the refusing services: enough for each to be the best
/// choice for some call.
const CALLS_TO_REFUSING: usize = 6;

/// More calls than the services of a deployment hold at once, 3 by 64.
const BURST: usize = 240;

/// The tier of the rule that matches whatever no other one does.
const CATCH_ALL_TIER: u8 = 6;

/// A `ProvokedCase` is calls of one kind and what they are to show.
struct ProvokedCase {
    title: &'static str,
    tier: Option<u8>,
    call: DemoCall,
}

/// Provoke everything, one after the other, and report what came of it.
pub(super) async fn provoke(
    fleet: &DemoFleet,
    deployment: &DemoDeployment,
) -> Result<ProvokedReport, CommandError> {
    let mut report = ProvokedReport::default();
    for case in refused_cases(deployment) {
        run_case(fleet, &case, 1, &mut report).await?;
    }
    meet_no_rule(fleet, deployment, &mut report).await?;
    meet_refusing_targets(fleet, deployment, &mut report).await?;
    meet_silent_connections(fleet, deployment, &mut report).await?;
    meet_burst(fleet, deployment, &mut report).await?;
    submit_again(fleet, deployment, &mut report).await?;
    Ok(report)
}

/// Get the cases that need nothing but a call.
fn refused_cases(deployment: &DemoDeployment) -> [ProvokedCase; 3] {
    let call = DemoCall {
        streaming: false,
        ..deployment.urgent_stream()
    };
    let case = |title, call| ProvokedCase {
        title,
        tier: None,
        call,
    };
    [
        case(
            "a key of no account",
            DemoCall {
                key: "no-such-key",
                ..call
            },
        ),
        case(
            "a pool that is not published",
            DemoCall {
                pool: "no-such-pool",
                ..call
            },
        ),
        case(
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
async fn meet_no_rule(
    fleet: &DemoFleet,
    deployment: &DemoDeployment,
    report: &mut ProvokedReport,
) -> Result<(), CommandError> {
    let rules = fleet.value(RULES_VALUE)?;
    let mut fewer = rules.clone();
    fewer["rules"].as_array_mut().and_then(Vec::pop);
    let call = DemoCall {
        work: "work-of-no-rule",
        ..deployment.repeatable_service()
    };
    let case = |title, tier| ProvokedCase { title, tier, call };
    fleet.publish(RULES_VALUE, &fewer).await?;
    let unmatched = case("work of no rule, catch-all unpublished", None);
    run_case(fleet, &unmatched, 1, report).await?;
    fleet.publish(RULES_VALUE, &rules).await?;
    let matched = case(
        "the same work, catch-all published again",
        Some(CATCH_ALL_TIER),
    );
    run_case(fleet, &matched, 1, report).await
}

/// Let all targets but one refuse. Their contract says that a refusal means
/// not run, so the calls are tried again elsewhere.
async fn meet_refusing_targets(
    fleet: &DemoFleet,
    deployment: &DemoDeployment,
    report: &mut ProvokedReport,
) -> Result<(), CommandError> {
    let call = deployment.repeatable_service();
    let mut refusing = target_names(fleet, call.pool)?;
    refusing.pop();
    fleet.set(&refusing, &json!({ "refuse": 503 })).await?;
    let case = ProvokedCase {
        title: "all services but one refuse",
        tier: Some(call.tier),
        call,
    };
    run_case(fleet, &case, CALLS_TO_REFUSING, report).await?;
    fleet.set(&refusing, &json!({ "refuse": null })).await
}

/// Send more calls at once than slow services hold, with a deadline that
/// passes while the last ones wait.
async fn meet_burst(
    fleet: &DemoFleet,
    deployment: &DemoDeployment,
    report: &mut ProvokedReport,
) -> Result<(), CommandError> {
    let call = DemoCall {
        fields: &[("bergamot-deadline-ms", "200")],
        ..deployment.repeatable_service()
    };
    let targets = target_names(fleet, call.pool)?;
    fleet.set(&targets, &json!({ "delay_ms": 500 })).await?;
    let case = ProvokedCase {
        title: "a burst at slow services, deadline 200 ms",
        tier: Some(call.tier),
        call,
    };
    run_case(fleet, &case, BURST, report).await?;
    fleet.set(&targets, &json!({ "delay_ms": 2 })).await
}

/// Let every connection that is open to an engine go silent while a stream is
/// under way. New connections work.
async fn meet_silent_connections(
    fleet: &DemoFleet,
    deployment: &DemoDeployment,
    report: &mut ProvokedReport,
) -> Result<(), CommandError> {
    let call = DemoCall {
        max_tokens: LONG_OUTPUT,
        ..deployment.urgent_stream()
    };
    let targets = target_names(fleet, call.pool)?;
    let hosts = fleet.addresses();
    let before = FleetCounters::read(&hosts).await?;
    let host = ask_address(hosts[0], call.key).await?;
    let sent = tokio::task::spawn_local(async move { call.send(host, "silent").await });
    tokio::time::sleep(UNDER_WAY).await;
    fleet.set(&targets, &json!({ "silent": "open" })).await?;
    let outcome = sent.await;
    let outcome = outcome.map_err(|error| CommandError::Answer(error.to_string()))??;
    fleet.set(&targets, &json!({ "silent": "off" })).await?;
    let change = FleetCounters::read(&hosts).await? - before;
    let title = "connections go silent in a stream";
    report.add(title, Some(call.tier), &[outcome], change);
    Ok(())
}

/// Send a call that must not be dispatched twice again, at another host.
async fn submit_again(
    fleet: &DemoFleet,
    deployment: &DemoDeployment,
    report: &mut ProvokedReport,
) -> Result<(), CommandError> {
    let call = deployment.dispatched_once();
    let hosts = fleet.addresses();
    let before = FleetCounters::read(&hosts).await?;
    let host = ask_address(hosts[0], call.key).await?;
    let other = hosts.iter().copied().find(|other| *other != host);
    let first = call.send(host, "again").await?;
    let fields = [
        ("bergamot-incarnation", first.run.as_str()),
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
async fn run_case(
    fleet: &DemoFleet,
    case: &ProvokedCase,
    count: usize,
    report: &mut ProvokedReport,
) -> Result<(), CommandError> {
    let hosts = fleet.addresses();
    let before = FleetCounters::read(&hosts).await?;
    let mut sent = JoinSet::new();
    for number in 0..count {
        let (call, host) = (case.call, hosts[number % hosts.len()]);
        let key = format!("{}-{number}", case.title.replace([' ', ','], "-"));
        sent.spawn_local(async move { call.send(host, &key).await });
    }
    let outcomes = collect(sent).await?;
    let change = FleetCounters::read(&hosts).await? - before;
    report.add(case.title, case.tier, &outcomes, change);
    Ok(())
}

async fn collect(
    mut sent: JoinSet<Result<CallOutcome, CommandError>>,
) -> Result<Vec<CallOutcome>, CommandError> {
    let mut outcomes = Vec::new();
    while let Some(joined) = sent.join_next().await {
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
