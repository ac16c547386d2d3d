//! The program as an operator runs it, and a directory for its files.

// Each test file uses its own part of this module.
#![allow(dead_code)]

use std::path::{Path, PathBuf};
use std::process::Command;

/// What one run of the program left.
pub struct Run {
    pub code: i32,
    pub output: String,
    pub errors: String,
}

pub fn run(args: &[&str]) -> Run {
    let mut program = Command::new(env!("CARGO_BIN_EXE_bergamotswitch"));
    let output = program.args(args).output().expect("the program runs");
    let text = |bytes| String::from_utf8(bytes).expect("UTF-8");
    Run {
        code: output.status.code().expect("an exit code"),
        output: text(output.stdout),
        errors: text(output.stderr),
    }
}

/// A directory that goes with the test.
pub struct Scratch(pub PathBuf);

impl Scratch {
    pub fn new(name: &str) -> Self {
        let name = format!("bergamotswitch-{name}-{}", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&path).expect("a directory");
        Scratch(path)
    }

    pub fn write(&self, name: &str, text: &str) -> String {
        let path = self.0.join(name);
        std::fs::write(&path, text).expect("written");
        path.to_str().expect("UTF-8").to_owned()
    }

    pub fn copy(&self, from: &Path, names: &[&str]) {
        for name in names {
            std::fs::copy(from.join(name), self.0.join(name)).expect("copied");
        }
    }
}

impl Drop for Scratch {
    fn drop(&mut self) {
        // A folder that stays behind is no failure of the test.
        let _ = std::fs::remove_dir_all(&self.0);
    }
}
