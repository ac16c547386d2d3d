//! Runs a simulated platform and its targets in one process, for tests, demos
//! and benchmarks only.

#![forbid(unsafe_code)]

use std::process::ExitCode;

fn main() -> ExitCode {
    bergamotswitch_standin::program::main()
}
