//! Runs the `bergamotswitch` program: the host daemon and the operator's
//! commands.

#![forbid(unsafe_code)]

use std::process::ExitCode;

fn main() -> ExitCode {
    let args = std::env::args_os().skip(1);
    match bergamotswitch::command::run(args) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("bergamotswitch: {error}");
            ExitCode::from(bergamotswitch::command::USAGE_EXIT)
        }
    }
}
