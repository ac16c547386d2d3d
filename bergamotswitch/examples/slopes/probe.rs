//! Provides measurements of the CPU time and memory of this process.

use std::fs;
use std::hint::black_box;

use crate::fit::Point;
use crate::report::measure_at_sizes;

/// The minimum CPU time of one timing, well above the tick of a few milliseconds
/// in which the kernel accounts it.
const MIN_TIMING_NANOS: u64 = 60_000_000;

/// The number of timings, of which the fastest counts: other load on the machine
/// can only slow a timing down.
const TIMING_RUNS: usize = 3;

/// Get the CPU time used by this thread, in nanoseconds.
pub fn cpu_nanos() -> u64 {
    let text = fs::read_to_string("/proc/thread-self/schedstat").expect("cannot read /proc");
    let first = text.split_whitespace().next().expect("empty schedstat");
    first.parse().expect("invalid CPU time in schedstat")
}

/// Get the resident memory of this process, in bytes.
pub fn resident_bytes() -> u64 {
    status_field("VmRSS:")
}

/// Get the peak resident memory of this process, in bytes.
pub fn peak_bytes() -> u64 {
    status_field("VmHWM:")
}

fn status_field(name: &str) -> u64 {
    let text = fs::read_to_string("/proc/self/status").expect("cannot read /proc");
    let line = text.lines().find(|line| line.starts_with(name));
    let field = line.and_then(|line| line.split_whitespace().nth(1));
    field
        .and_then(|kib| kib.parse::<u64>().ok())
        .expect("invalid memory size in status")
        * 1024
}

/// Measure the CPU time of one call of `work`, in microseconds.
pub fn cpu_micros_per_call<T>(mut work: impl FnMut() -> T) -> f64 {
    let mut fastest = f64::MAX;
    for _ in 0..TIMING_RUNS {
        let start = cpu_nanos();
        let mut calls = 0_u32;
        let mut batch = 1;
        let cpu_time = loop {
            for _ in 0..batch {
                black_box(work());
            }
            calls += batch;
            let cpu_time = cpu_nanos() - start;
            if cpu_time >= MIN_TIMING_NANOS {
                break cpu_time;
            }
            batch = batch.saturating_mul(2).min(4_096);
        };
        fastest = fastest.min(cpu_time as f64 / f64::from(calls) / 1_000.0);
    }
    fastest
}

/// Measure the resident memory that calls of `step` add, at each number of calls
/// in `sizes`.
pub fn memory_growth(sizes: &[usize], mut step: impl FnMut()) -> Vec<Point> {
    let before = resident_bytes();
    let mut done = 0;
    measure_at_sizes(sizes, |size| {
        for _ in done..size {
            step();
        }
        done = size;
        (resident_bytes() - before) as f64
    })
}
