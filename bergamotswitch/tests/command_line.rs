//! Tests the program's commands through its command line.

mod fleet;
mod program;

use std::process::Command;

use bergamotswitch::command::demo::deployment_directory;
use fleet::Fleet;
use program::{ScratchDirectory, run};

const DEPLOYMENTS: [&str; 2] = ["red-austral", "naapuriseina"];

fn directory(deployment: &str) -> String {
    let path = deployment_directory(deployment);
    path.to_str().expect("UTF-8").to_owned()
}

#[test]
fn all_findings_reported() {
    let scratch = ScratchDirectory::new("five");
    let file = scratch.write(
        "rules.json",
        r#"{"rules": [
            {"name": "a", "when": {"work": [7], "streaming": "yes"},
             "then": {"tier": 9, "deadline_ms": 0}},
            {"name": "b", "then": {"tier": 1, "deadline_ms": 1000, "prioritty": 1}}
        ]}"#,
    );
    let run = run(&["check", &file]);
    assert_eq!(run.code, 1);
    for place in [
        "/rules/0/when/work/0",
        "/rules/0/when/streaming",
        "/rules/0/then/tier",
        "/rules/0/then/deadline_ms",
        "/rules/1/then/prioritty",
    ] {
        let mut lines = run.output.lines();
        let line = lines.find(|line| line.contains(place));
        assert!(line.expect(place).starts_with(&file), "{}", run.output);
    }
    assert!(run.output.ends_with("1 files checked, 5 findings\n"));
}

#[test]
fn valid_deployments() {
    for name in DEPLOYMENTS {
        let run = run(&["check", &directory(name)]);
        assert_eq!(run.code, 0, "{}", run.output);
        assert!(run.output.contains("9 files checked, 0 findings"));
    }
}

#[test]
fn usage_errors() {
    let cases: [(&[&str], &[&str]); 11] = [
        (
            &[],
            &["no command", "serve, check, explain, status, logs, demo"],
        ),
        (&["serv"], &["\"serv\"", "serve, check, explain"]),
        (&["serve"], &["--settings FILE"]),
        (&["serve", "--settings"], &["--settings"]),
        (&["serve", "--setings", "a"], &["--setings", "--settings"]),
        (&["check"], &["at least one file or directory"]),
        (&["status", "--host", "here"], &["--host", "IP:PORT"]),
        (
            &["explain", "--prompt-tokens", "-1"],
            &["--prompt-tokens", "whole number from 0"],
        ),
        (&["logs", "trace"], &["ID of logs trace"]),
        (&["logs", "summary"], &["at least one file"]),
        (&["demo", "--fast"], &["--fast", "demo takes no options"]),
    ];
    for (args, texts) in cases {
        let run = run(args);
        assert_eq!((run.code, run.output.as_str()), (2, ""), "{args:?}");
        for text in texts {
            assert!(run.errors.contains(text), "{args:?}: {}", run.errors);
        }
    }
}

#[test]
fn help_and_version() {
    let help = run(&["--help"]);
    assert_eq!((help.code, help.errors.as_str()), (0, ""));
    for command in ["serve", "check", "explain", "status", "demo"] {
        assert!(help.output.contains(&format!("bergamotswitch {command}")));
    }
    let version = run(&["--version"]);
    let expected = format!("bergamotswitch {}\n", env!("CARGO_PKG_VERSION"));
    assert_eq!((version.code, version.output), (0, expected));
}

// Guards against a panic when the reader of a pipe, such as `head`, closes it
// before the output is written.
#[test]
fn closed_pipe() {
    let (reader, writer) = std::io::pipe().expect("a pipe");
    drop(reader);
    let mut program = Command::new(env!("CARGO_BIN_EXE_bergamotswitch"));
    let program = program.args(["check", &directory(DEPLOYMENTS[0])]);
    let output = program.stdout(writer).output().expect("the program runs");
    assert_eq!(output.status.code(), Some(0));
    assert!(output.stderr.is_empty());
}

#[test]
fn explained_requests() {
    let cases = [
        (
            ["red-austral", "bolido-llm", "grupo-cuyo", "candidate-tag"],
            "trajectory-report: work is candidate-tag, wanted trajectory-report",
            "bolido-llm-18 (sanjuan): may run it",
        ),
        (
            ["naapuriseina", "case-desk", "kunta-lupa", "consent-receipt"],
            "objection-summary: pools is case-desk, wanted drafting-lm",
            "case-desk-1 (espoo-hall): may run it",
        ),
    ];
    for ([deployment, pool, account, work], earlier, place) in cases {
        let directory = directory(deployment);
        let mut args = vec!["explain", "--deployment", &directory, "--pool", pool];
        args.extend(["--account", account, "--work", work]);
        let run = run(&args);
        assert_eq!(run.code, 0, "{}", run.errors);
        for text in [earlier, &format!("{work}: matches"), place] {
            assert!(run.output.contains(text), "{text}:\n{}", run.output);
        }
    }
}

#[test]
fn no_rule() {
    let scratch = ScratchDirectory::new("no-rule");
    let values = ["accounts.json", "pools.json", "domains.json"];
    scratch.copy(&deployment_directory("red-austral"), &values);
    scratch.copy(
        &deployment_directory("red-austral"),
        &["limits.json", "hosts.json"],
    );
    scratch.write(
        "rules.json",
        r#"{"rules": [{"name": "a", "when": {"work": ["b"]},
            "then": {"tier": 1, "deadline_ms": 1000}}]}"#,
    );
    let directory = scratch.0.to_str().expect("UTF-8");
    let mut args = vec!["explain", "--deployment", directory];
    args.extend(["--pool", "red-app", "--account", "grupo-cuyo"]);
    let run = run(&args);
    assert_eq!(run.code, 1, "{}", run.errors);
    assert!(run.output.contains("a: work is nothing, wanted b"));
    assert!(
        run.output
            .contains("red-app-1 (mza-norte): no rule matches")
    );
}

#[tokio::test]
async fn status_text() {
    let fleet = Fleet::start("red-austral").await;
    let mut shards = 0;
    for host in &fleet.hosts {
        // A host may be ready before its first heartbeats are answered.
        let reachable = fleet::wait_view(host.address(), |view| {
            let peers = view["peers"].as_array();
            peers.is_some_and(|peers| peers.iter().any(|peer| peer["reachable"] == true))
        });
        assert!(
            reachable.await.is_some(),
            "{}: no peer became reachable",
            host.name()
        );
        let address = host.address().to_string();
        let run = run(&["status", "--host", &address]);
        assert_eq!(run.code, 0, "{}{}", run.output, run.errors);
        let words = |line: &str| line.split_whitespace().collect::<Vec<_>>().join(" ");
        let lines: Vec<String> = run.output.lines().map(words).collect();
        for line in [
            "state serves",
            "tier 0 1 2 3 4 5 6 7",
            "waiting 0 0 0 0 0 0 0 0",
            "running 0 0 0 0 0 0 0 0",
            "rules 1 1 -",
        ] {
            assert!(lines.iter().any(|l| l == line), "{line}:\n{}", run.output);
        }
        let owned = lines.iter().filter(|line| line.starts_with("shard "));
        shards += owned.count();
        assert!(lines.iter().any(|line| line.contains(" reachable ")));
    }
    assert!(shards >= 2, "expected an owner for each pool");
    let run = run(&["status", "--host", "127.0.0.1:1"]);
    assert_eq!(run.code, 2);
    assert!(run.errors.contains("127.0.0.1:1/status"), "{}", run.errors);
}
