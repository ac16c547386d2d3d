//! Provides the cases of the second review that are scripts. Each starts hosts as processes,
//! and plays the store, the workers and the clients itself.
//!
//! Usage: `cases NAME FOLDER`, in the repository. The record goes to `record.txt` in FOLDER.
//! The exit code is 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
//! With `TROUBLE=0` in the environment the disruption is left out.

mod cold;
mod hosts;
mod http;
mod memory;
mod record;
mod revoked;
mod store;
mod versions;
mod worker;

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

use cold::ColdTrouble;
use record::Record;

/// The time after which a case is given up.
const MAX_TIME: Duration = Duration::from_secs(110);

/// A `CaseSetup` is what every case needs.
pub struct CaseSetup {
    pub record: Record,
    /// A temporary folder for settings and logs.
    pub folder: PathBuf,
    /// Whether the disruption is played.
    pub is_troubled: bool,
}

/// A `Verdict` is the result of a case that could run.
pub enum Verdict {
    Held,
    Broken,
}

fn main() -> ExitCode {
    let words: Vec<String> = std::env::args().collect();
    let [_, name, folder] = words.as_slice() else {
        eprintln!("usage: cases NAME FOLDER");
        return ExitCode::from(2);
    };
    hosts::limit_time(MAX_TIME);
    let temporary = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
    let result = run(name, Path::new(folder), &temporary);
    match std::env::var("KEEP_LOGS") {
        Ok(_) => println!("logs in {}", temporary.display()),
        Err(_) => drop(std::fs::remove_dir_all(&temporary)),
    }
    match result {
        Ok(Verdict::Held) => ExitCode::SUCCESS,
        Ok(Verdict::Broken) => ExitCode::from(1),
        Err(cause) => {
            eprintln!("the case could not run: {cause}");
            ExitCode::from(2)
        }
    }
}

fn run(name: &str, folder: &Path, temporary: &Path) -> Result<Verdict, String> {
    std::fs::create_dir_all(temporary).map_err(|error| error.to_string())?;
    let record = Record::create(&folder.join("record.txt")).map_err(|error| error.to_string())?;
    let setup = CaseSetup {
        record,
        folder: temporary.to_owned(),
        is_troubled: std::env::var("TROUBLE").map_or(true, |value| value != "0"),
    };
    let verdict = match name {
        "versions" => versions::run(&setup),
        "revoked" => revoked::run(&setup),
        "memory" => memory::run(&setup),
        "cold-store-down" => cold::run(&setup, ColdTrouble::Down),
        "cold-store-copy" => cold::run(&setup, ColdTrouble::Copy),
        _ => Err(format!("no case {name}")),
    };
    if let Err(cause) = &verdict {
        setup
            .record
            .note(&format!("the case could not run: {cause}"));
    }
    verdict
}
