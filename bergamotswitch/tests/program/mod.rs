//! Provides helpers that run the program and create temporary files for it.

// Not every test file uses all of this module.
#![allow(dead_code)]

use std::path::{Path, PathBuf};
use std::process::Command;

/// A `Run` is the exit code and the output of one run of the program.
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

/// A `ScratchDirectory` is a temporary directory that is removed after the test.
pub struct ScratchDirectory(pub PathBuf);

impl ScratchDirectory {
    pub fn new(name: &str) -> Self {
        let name = format!("bergamotswitch-{name}-{}", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&path).expect("a directory");
        ScratchDirectory(path)
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

impl Drop for ScratchDirectory {
    fn drop(&mut self) {
        // A directory that cannot be removed does not fail the test.
        let _ = std::fs::remove_dir_all(&self.0);
    }
}
