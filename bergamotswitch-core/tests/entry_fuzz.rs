//! Tests of the entry side by stateful fuzzing against a naive oracle.

mod entry_support;
mod entry_world;
mod oracle;

use bergamotswitch_core::entry::{EntryOptions, Fault};
use bergamotswitch_draw::any;
use entry_world::{World, WorldEvent};
use oracle::{Coverage, Violation, add_counts};

/// The number of runs.
const RUNS: u64 = 3_000;

/// The number of events in a run.
const EVENTS: std::ops::RangeInclusive<usize> = 40..=400;

/// Get the events of a run.
fn draw(run: u64) -> Vec<WorldEvent> {
    bergamotswitch_draw::draw(&any::<Vec<WorldEvent>>().with().len(EVENTS), run)
}

fn play(options: EntryOptions, events: &[WorldEvent]) -> Result<World, Violation> {
    let mut world = World::new(options);
    for event in events {
        world.take(*event)?;
    }
    world.rest()?;
    Ok(world)
}

#[test]
fn any_order() {
    let mut count = 0;
    let mut reach = Coverage::default();
    for run in 0..RUNS {
        let events = draw(run);
        match play(EntryOptions::default(), &events) {
            Ok(world) => add_counts(&mut reach, &world.reach),
            Err(breach) => panic!("run {run}: {breach:?}"),
        }
        count += events.len();
    }
    println!("{RUNS} runs, {count} events, {reach:?}");
    let often = [
        "aborts", "retries", "attached", "forwards", "lost", "crashes",
    ];
    let counts = often.map(|what| reach.get(what).copied().unwrap_or_default());
    assert!(counts.iter().all(|count| *count > RUNS));
}

/// Play runs with a deliberate fault until the oracle objects.
fn caught(fault: Fault) -> Option<Violation> {
    let options = EntryOptions::default().with_fault(fault);
    let breach = |run| {
        let breach = play(options.clone(), &draw(run)).err()?;
        println!("{fault:?}: run {run}, {breach:?}");
        Some(breach)
    };
    (0..RUNS).find_map(breach)
}

#[test]
fn retry_after_dispatch() {
    let breach = caught(Fault::RetryAfterDispatch);
    let expected = [Violation::DispatchOnce, Violation::RunOnce];
    assert!(breach.is_some_and(|breach| expected.contains(&breach)));
}

#[test]
fn claim_after_write() {
    assert_eq!(caught(Fault::NotRunAfterWrite), Some(Violation::NotRun));
}

#[test]
fn key_alone() {
    assert_eq!(caught(Fault::KeyAlone), Some(Violation::ForeignAnswer));
}

#[test]
fn permit_after_pause() {
    assert_eq!(
        caught(Fault::PermitAfterPause),
        Some(Violation::StalePermit)
    );
}
