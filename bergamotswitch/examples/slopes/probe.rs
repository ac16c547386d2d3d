//! Provides what the operating system says of this process: processor time
//! and memory.

use std::fs;
use std::hint::black_box;

use crate::fit::Point;
use crate::report::measure_at_sizes;

/// The processor time that one timing takes at least. The system counts it
/// in ticks of a few milliseconds.
const MIN_TIMING_NANOS: u64 = 60_000_000;

/// The least of so many timings counts: other load only ever adds.
const TIMING_RUNS: usize = 3;

/// Get the processor time of this thread so far, in nanoseconds.
pub fn cpu_nanos() -> u64 {
    let text = fs::read_to_string("/proc/thread-self/schedstat").expect("a Linux system");
    let first = text.split_whitespace().next().expect("a field");
    first.parse().expect("a number")
}

/// Get the memory that this process holds now, in bytes.
pub fn resident_bytes() -> u64 {
    status_field("VmRSS:")
}

/// Get the most memory that this process ever held, in bytes.
pub fn peak_bytes() -> u64 {
    status_field("VmHWM:")
}

fn status_field(name: &str) -> u64 {
    let text = fs::read_to_string("/proc/self/status").expect("a Linux system");
    let line = text.lines().find(|line| line.starts_with(name));
    let field = line.and_then(|line| line.split_whitespace().nth(1));
    field.and_then(|kib| kib.parse::<u64>().ok()).expect("kB") * 1024
}

/// Get the processor time of one call of `work`, in microseconds.
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

/// Get the memory that `step` adds, at growing numbers of steps.
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
