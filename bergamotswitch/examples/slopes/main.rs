//! Measures how state, messages and processor time of each role grow with the
//! size of the fleet, and prints each as a slope. `docs/CAPACITY.md` is worked
//! out from what this prints.
//!
//! `cargo run --release -p bergamotswitch --example slopes [PART]` runs within
//! two minutes, bounded and with fixed numbers in place of random ones.

mod entry;
mod failures;
mod fit;
mod fleet;
mod fleet_view;
mod frames;
mod growth;
mod links;
mod owner;
mod parcel;
mod probe;
mod sheet;
mod values;
mod world;

use std::thread;
use std::time::Instant;

use sheet::SlopeSheet;

/// A `Part` is a group of measurements that may be run alone.
#[derive(Clone, Copy)]
struct Part {
    name: &'static str,
    measure: fn(&SlopeSheet),
}

const fn part(name: &'static str, measure: fn(&SlopeSheet)) -> Part {
    Part { name, measure }
}

/// Memory comes first and alone: it is that of the whole process, and what is
/// freed later would be taken again unseen.
const MEMORY: [Part; 5] = [
    part("values-memory", values::measure_memory),
    part("entry-memory", entry::measure_memory),
    part("owner-memory", owner::measure_memory),
    part("links-memory", links::measure_memory),
    part("idle", growth::measure_idle),
];

/// What runs side by side. Processor time is that of each one's own thread.
const TIME: [&[Part]; 3] = [
    &[
        part("frames", frames::measure),
        part("values", values::measure),
        part("entry", entry::measure),
        part("owner", owner::measure),
        part("links", links::measure),
    ],
    &[part("peak", growth::measure_peak)],
    &[part("failures", failures::measure)],
];

fn run(parts: &[Part], wanted: Option<&str>) -> String {
    let sheet = SlopeSheet::new();
    for part in parts {
        if wanted.is_none_or(|wanted| wanted == part.name) {
            (part.measure)(&sheet);
        }
    }
    sheet.into_text()
}

fn main() {
    let began = Instant::now();
    let wanted = std::env::args().nth(1);
    let wanted = wanted.as_deref();
    println!("{}", SlopeSheet::head());
    print!("{}", run(&MEMORY, wanted));
    thread::scope(|scope| {
        let runs = TIME.map(|parts| scope.spawn(move || run(parts, wanted)));
        for run in runs {
            print!("{}", run.join().expect("a measurement"));
        }
    });
    let seconds = began.elapsed().as_secs_f64();
    let peak = probe::peak_bytes() / 1_000_000;
    println!("\nin {seconds:.0} s, at most {peak} MB");
}
