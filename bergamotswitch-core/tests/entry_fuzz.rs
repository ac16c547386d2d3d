//! Tests of the entry side by stateful fuzzing, compared with a simple oracle.

mod entry_simulation;
mod entry_support;
mod oracle;

use bergamotswitch_core::entry::{EntryOptions, Fault};
use bergamotswitch_draw::any;
use entry_simulation::{EntrySimulation, SimulationEvent};
use oracle::{Coverage, Violation, add_counts};

const RUNS: u64 = 3_000;

/// The number of events per run.
const EVENTS: std::ops::RangeInclusive<usize> = 40..=400;

/// Generate the events of a run.
fn generate_events(run: u64) -> Vec<SimulationEvent> {
    bergamotswitch_draw::draw(&any::<Vec<SimulationEvent>>().with().len(EVENTS), run)
}

fn run_events(
    options: EntryOptions,
    events: &[SimulationEvent],
) -> Result<EntrySimulation, Violation> {
    let mut simulation = EntrySimulation::new(options);
    for event in events {
        simulation.apply(*event)?;
    }
    simulation.settle()?;
    Ok(simulation)
}

#[test]
fn any_order() {
    let mut count = 0;
    let mut coverage = Coverage::default();
    for run in 0..RUNS {
        let events = generate_events(run);
        match run_events(EntryOptions::default(), &events) {
            Ok(simulation) => add_counts(&mut coverage, &simulation.coverage),
            Err(violation) => panic!("run {run}: {violation:?}"),
        }
        count += events.len();
    }
    println!("{RUNS} runs, {count} events, {coverage:?}");
    let often = [
        "aborts", "retries", "attached", "forwards", "lost", "crashes",
    ];
    let counts = often.map(|what| coverage.get(what).copied().unwrap_or_default());
    assert!(counts.iter().all(|count| *count > RUNS));
}

/// Run with an injected fault until the oracle detects it.
fn find_violation(fault: Fault) -> Option<Violation> {
    let options = EntryOptions::default().with_fault(fault);
    let violation = |run| {
        let violation = run_events(options.clone(), &generate_events(run)).err()?;
        println!("{fault:?}: run {run}, {violation:?}");
        Some(violation)
    };
    (0..RUNS).find_map(violation)
}

#[test]
fn retry_after_dispatch() {
    let violation = find_violation(Fault::RetryAfterDispatch);
    let expected = [Violation::DispatchOnce, Violation::RunOnce];
    assert!(violation.is_some_and(|violation| expected.contains(&violation)));
}

#[test]
fn claim_after_write() {
    assert_eq!(
        find_violation(Fault::NotRunAfterWrite),
        Some(Violation::NotRun)
    );
}

#[test]
fn key_without_account() {
    assert_eq!(
        find_violation(Fault::KeyWithoutAccount),
        Some(Violation::ForeignAnswer)
    );
}

#[test]
fn permit_after_pause() {
    assert_eq!(
        find_violation(Fault::PermitAfterPause),
        Some(Violation::StalePermit)
    );
}
