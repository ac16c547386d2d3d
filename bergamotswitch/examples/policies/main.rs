//! Compares the scheduling policy with baselines in a virtual-time simulation
//! with the same requests and engines.
//!
//! Prints the tables of `docs/MEASUREMENTS.md`. The seed is fixed.

mod baseline;
mod engine;
mod node_policy;
mod report;
mod simulation;
mod traffic;

use std::thread;

use bergamotswitch_core::node::NodeOptions;

use baseline::{BaselinePolicy, BaselineRule};
use node_policy::{NodePolicy, owner_index};
use report::{RunMetrics, print_table};
use simulation::{Simulation, TestPolicy};
use traffic::{TestDeployment, TestScenario, generate_requests};

const BASELINES: [(&str, BaselineRule); 4] = [
    ("round robin", BaselineRule::RoundRobin),
    ("least reported", BaselineRule::LeastReported),
    ("shortest queue", BaselineRule::ShortestQueue),
    ("shortest queue, tiers", BaselineRule::ShortestQueueTiers),
];

/// The scenarios in which options are compared: a subset, to limit the run
/// time.
const OPTION_SCENARIOS: [&str; 3] = ["dawn burst 2x", "slow engine", "owner dies in burst"];

fn run(
    deployment: &TestDeployment,
    scenario: &TestScenario,
    policy: &mut dyn TestPolicy,
    hedge_after: Option<u64>,
) -> RunMetrics {
    let requests = generate_requests(deployment, scenario);
    let owner = owner_index(deployment);
    let mut simulation = Simulation::new(deployment, scenario, owner, requests, policy);
    simulation.hedge_after = hedge_after;
    RunMetrics::of(&simulation.run(scenario), scenario)
}

type MetricRows = Vec<(String, RunMetrics)>;

fn compare(deployment: &TestDeployment, scenario: &TestScenario) -> MetricRows {
    let mut rows = Vec::new();
    let mut policy = NodePolicy::new(deployment, &NodeOptions::default());
    let metrics = run(deployment, scenario, &mut policy, None);
    rows.push(("bergamotswitch".to_owned(), metrics));
    for (name, rule) in BASELINES {
        let mut policy = BaselinePolicy::new(deployment, rule);
        let metrics = run(deployment, scenario, &mut policy, None);
        rows.push((name.to_owned(), metrics));
    }
    rows
}

/// Run the policy with one option changed at a time.
fn compare_options(deployment: &TestDeployment, scenario: &TestScenario) -> MetricRows {
    let mut rows = Vec::new();
    let mut add = |name: &str, opts: NodeOptions, set: fn(&mut NodePolicy), hedge_after| {
        let mut policy = NodePolicy::new(deployment, &opts);
        set(&mut policy);
        let metrics = run(deployment, scenario, &mut policy, hedge_after);
        rows.push((name.to_owned(), metrics));
    };
    let defaults = NodeOptions::default;
    add("default options", defaults(), |_| {}, None);
    add(
        "no prefix affinity",
        defaults(),
        |p| p.affinity = false,
        None,
    );
    add("hedged after 0.5 s", defaults(), |_| {}, Some(500_000));
    add("hedged after 2 s", defaults(), |_| {}, Some(2_000_000));
    add(
        "queue limit of 30 s",
        defaults(),
        |p| p.set_queue_limit(30_000),
        None,
    );
    rows
}

fn print_all(
    title: &str,
    scenarios: &[TestScenario],
    measure: fn(&TestDeployment, &TestScenario) -> MetricRows,
) {
    println!("\n## {title}");
    for deployment in [
        TestDeployment::red_austral(),
        TestDeployment::naapuriseina(),
    ] {
        // Limits the simulation to three threads.
        for group in scenarios.chunks(3) {
            let tables: Vec<MetricRows> = thread::scope(|scope| {
                let handles: Vec<_> = group
                    .iter()
                    .map(|scenario| scope.spawn(|| measure(&deployment, scenario)))
                    .collect();
                handles
                    .into_iter()
                    .map(|handle| handle.join().expect("a measurement thread panicked"))
                    .collect()
            });
            for (scenario, rows) in group.iter().zip(&tables) {
                print_table(&format!("{}: {}", deployment.name, scenario.name), rows);
            }
        }
    }
}

fn main() {
    let mut scenarios = TestScenario::all();
    print_all("Policy and baselines", &scenarios, compare);
    scenarios.retain(|scenario| OPTION_SCENARIOS.contains(&scenario.name));
    print_all("Policy options", &scenarios, compare_options);
}
