//! Tests the `logs` command on log files of several hosts.

mod program;

use program::{Run, ScratchDirectory, run};
use serde_json::{Value, json};

fn read_json(args: &[&str]) -> Value {
    let run = run(args);
    assert_eq!(run.code, 0, "{}", run.errors);
    serde_json::from_str(&run.output).expect("JSON")
}

fn line(second: u32, text: &str, fields: Value) -> String {
    let at = format!("2026-12-01 06:00:{second:02}.250000 +00:00");
    json!({"level": "INFO", "timestamp": at, "kv": fields, "text": text}).to_string()
}

struct RequestEnd {
    request: &'static str,
    number: &'static str,
    outcome: &'static str,
    reason: &'static str,
    targets: &'static str,
    waited_ms: u64,
    first_ms: &'static str,
    took_ms: u64,
}

fn request_ended(second: u32, end: &RequestEnd) -> String {
    let fields = json!({
        "event": 206, "request": end.request, "number": end.number, "route": "report",
        "account": "crew", "tier": "0", "aim_ms": "400", "outcome": end.outcome,
        "reason": end.reason, "targets": end.targets, "waited_ms": end.waited_ms.to_string(),
        "first_ms": end.first_ms, "took_ms": end.took_ms.to_string(),
    });
    line(second, "request ended", fields)
}

fn host_started(host: &str, run: &str) -> String {
    let about = format!("{host}~{run}");
    line(
        0,
        "host started",
        json!({"event": 100, "host": host, "about": about}),
    )
}

fn write_logs(directory: &ScratchDirectory) -> [String; 2] {
    let first = [
        host_started("front-1", "aa11"),
        "ready callers=127.0.0.1:7101".to_owned(),
        request_ended(
            1,
            &RequestEnd {
                request: "r-1",
                number: "1",
                outcome: "answered",
                reason: "",
                targets: "i-1",
                waited_ms: 10,
                first_ms: "300",
                took_ms: 1_010,
            },
        ),
        request_ended(
            2,
            &RequestEnd {
                request: "r-2",
                number: "2",
                outcome: "answered",
                reason: "",
                targets: "i-2,i-1",
                waited_ms: 500,
                first_ms: "900",
                took_ms: 2_500,
            },
        ),
        request_ended(
            2,
            &RequestEnd {
                request: "r-3",
                number: "",
                outcome: "refused",
                reason: "overloaded",
                targets: "",
                waited_ms: 3,
                first_ms: "",
                took_ms: 3,
            },
        ),
        request_ended(
            3,
            &RequestEnd {
                request: "r-4",
                number: "13",
                outcome: "refused",
                reason: "target-failed",
                targets: "i-1",
                waited_ms: 0,
                first_ms: "",
                took_ms: 700,
            },
        ),
    ];
    let own_event =
        json!({"event": 700, "attempt": "aa11-13-0", "cause": "no answer", "to": "i-1"});
    let prefix_event =
        json!({"event": 700, "attempt": "aa11-1-0", "cause": "no answer", "to": "i-1"});
    let second = [
        host_started("front-2", "bb22"),
        line(2, "connection silent, given up", own_event),
        line(2, "connection silent, given up", prefix_event),
        "{\"cut".to_owned(),
    ];
    [
        directory.write("front-1.log", &(first.join("\n") + "\n")),
        directory.write("front-2.log", &(second.join("\n") + "\n")),
    ]
}

#[test]
fn outcome_tables() {
    let directory = ScratchDirectory::new("logs-summary");
    let [first, second] = write_logs(&directory);
    let found = read_json(&["logs", "summary", "--json", &first, &second]);
    let all = &found["requests"]["all"];
    assert_eq!(all["in time"], json!({"requests": 1, "place_ms": 1_000}));
    assert_eq!(all["late"], json!({"requests": 1, "place_ms": 2_000}));
    assert_eq!(all["broken"], json!({"requests": 1, "place_ms": 700}));
    assert_eq!(all["untried"], json!({"requests": 1, "place_ms": 0}));
    assert_eq!(found["target"]["i-1"]["late"]["requests"], 1);
    assert_eq!(found["reason"]["overloaded"]["untried"]["requests"], 1);
    assert_eq!(found["refused_untried"]["overloaded"]["at_once"], 1);
    assert_eq!(
        found["second"]["2026-12-01 06:00:02"]["late"]["requests"],
        1
    );
    assert_eq!(found["unreadable"], 2);
    let Run {
        code, output: text, ..
    } = run(&["logs", "summary", &first, &second]);
    assert_eq!(code, 0);
    assert!(text.contains("overloaded"), "{text}");
    assert!(text.contains("2 unreadable lines"), "{text}");
}

#[test]
fn one_request() {
    let directory = ScratchDirectory::new("logs-trace");
    let [first, second] = write_logs(&directory);
    let Run {
        code, output: text, ..
    } = run(&["logs", "trace", "r-4", &second, &first]);
    assert_eq!(code, 0);
    let lines: Vec<&str> = text.lines().collect();
    assert_eq!(lines.len(), 3, "{text}");
    assert!(lines[0].contains("attempt=aa11-13-0"), "{text}");
    assert!(lines[1].contains("reason=target-failed"), "{text}");
    // The internal id of request 1 is a prefix of that of request 13.
    let found = read_json(&["logs", "trace", "r-1", "--json", &first, &second]);
    let lines = found["lines"].as_array().expect("lines");
    let attempts = lines.iter().map(|line| &line["fields"]["attempt"]);
    let attempts: Vec<&Value> = attempts.filter(|attempt| !attempt.is_null()).collect();
    assert_eq!(attempts, [&json!("aa11-1-0")]);
    assert_eq!(run(&["logs", "trace", "unknown", &first, &second]).code, 1);
}

// Guards against unbounded memory use on an endless line, and against an abort
// on a line that is not valid text.
#[test]
fn malformed_lines() {
    let directory = ScratchDirectory::new("logs-bad");
    let [first, _] = write_logs(&directory);
    let mut bytes = std::fs::read(&first).expect("log");
    bytes.extend_from_slice(b"\xff\xfe{\x00\n\n");
    bytes.extend(std::iter::repeat_n(b'{', 1 << 20));
    std::fs::write(&first, bytes).expect("written");
    let found = read_json(&["logs", "summary", "--json", &first]);
    assert_eq!(found["read"], 5);
    assert_eq!(found["unreadable"], 3);
    assert_eq!(run(&["logs", "summary", "no-such-file"]).code, 2);
    assert_eq!(run(&["logs", "guess", &first]).code, 2);
}
