//! Measures how the memory, messages and CPU time of each role grow with the
//! fleet size, and prints a line fit for each. The figures are the basis of
//! `docs/CAPACITY.md`.
//!
//! Run it with
//! `cargo run --release -p bergamotswitch --example slopes [MEASUREMENT]`. The
//! inputs are fixed, without random numbers.

mod entry;
mod event;
mod failures;
mod fit;
mod fixtures;
mod fleet;
mod fleet_stats;
mod frames;
mod growth;
mod links;
mod owner;
mod probe;
mod report;
mod values;

use std::thread;
use std::time::Instant;

use report::SlopeReport;

/// A `Measurement` is a named group of measurements that can be run alone.
#[derive(Clone, Copy)]
struct Measurement {
    name: &'static str,
    measure: fn(&SlopeReport),
}

const fn measurement(name: &'static str, measure: fn(&SlopeReport)) -> Measurement {
    Measurement { name, measure }
}

/// The memory measurements, which run first and one at a time: they read the
/// memory of the whole process, and would miss growth into freed memory.
const MEMORY_MEASUREMENTS: [Measurement; 5] = [
    measurement("values-memory", values::measure_memory),
    measurement("entry-memory", entry::measure_memory),
    measurement("owner-memory", owner::measure_memory),
    measurement("links-memory", links::measure_memory),
    measurement("idle", growth::measure_idle),
];

/// The groups of CPU time measurements, which run in parallel: CPU time is
/// measured for each thread.
const CPU_MEASUREMENTS: [&[Measurement]; 3] = [
    &[
        measurement("frames", frames::measure),
        measurement("values", values::measure),
        measurement("entry", entry::measure),
        measurement("owner", owner::measure),
        measurement("links", links::measure),
    ],
    &[measurement("peak", growth::measure_peak)],
    &[measurement("failures", failures::measure)],
];

fn run(measurements: &[Measurement], selected: Option<&str>) -> String {
    let report = SlopeReport::new();
    for measurement in measurements {
        if selected.is_none_or(|selected| selected == measurement.name) {
            (measurement.measure)(&report);
        }
    }
    report.into_text()
}

fn main() {
    let start = Instant::now();
    let selected = std::env::args().nth(1);
    let selected = selected.as_deref();
    println!("{}", SlopeReport::head());
    print!("{}", run(&MEMORY_MEASUREMENTS, selected));
    thread::scope(|scope| {
        let handles =
            CPU_MEASUREMENTS.map(|measurements| scope.spawn(move || run(measurements, selected)));
        for handle in handles {
            print!("{}", handle.join().expect("a measurement thread panicked"));
        }
    });
    let seconds = start.elapsed().as_secs_f64();
    let peak = probe::peak_bytes() / 1_000_000;
    println!("\nfinished in {seconds:.0} s, peak memory {peak} MB");
}
