//! Tests of the log's line formats.

use std::sync::Mutex;

use bergamotswitch_core::incident::Incident;
use bergamotswitch_net::event_log;
use flexi_logger::{DeferredNow, json_format};
use log::{Log, Metadata, Record};

/// A `LineRecorder` is a logger that records each line in both formats.
struct LineRecorder(Mutex<Vec<[String; 2]>>);

static RECORDER: LineRecorder = LineRecorder(Mutex::new(Vec::new()));

impl Log for LineRecorder {
    fn enabled(&self, _metadata: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        let mut text = Vec::new();
        let mut json = Vec::new();
        event_log::text_line(&mut text, &mut DeferredNow::new(), record).expect("a line");
        json_format(&mut json, &mut DeferredNow::new(), record).expect("a line");
        let lines = [text, json].map(|line| String::from_utf8(line).expect("a text"));
        self.0.lock().expect("an unpoisoned lock").push(lines);
    }

    fn flush(&self) {}
}

#[test]
fn numbered_line() {
    // Guards against forged log lines: a value with a line break, such as text from
    // a caller, must be escaped.
    log::set_logger(&RECORDER).expect("the first logger");
    log::set_max_level(log::LevelFilter::Info);
    let forged = "a\n2026-12-02 ERROR host stopped";
    event_log::write(
        Incident::DegradedAdmission,
        &[
            ("request", &17),
            ("shard", &"bolido-llm"),
            ("work", &forged),
        ],
    );
    let lines = RECORDER.0.lock().expect("an unpoisoned lock");
    let [text, json] = &lines[0];
    let expected = " WARN  no owner reachable, admitting by own fraction event=205 request=17 \
                    shard=bolido-llm work=\"a\\n2026-12-02 ERROR host stopped\"";
    assert!(text.ends_with(expected), "{text}");
    assert_eq!(text.lines().count(), 1);

    let line: serde_json::Value = serde_json::from_str(json).expect("JSON");
    assert_eq!(line["level"], "WARN");
    assert_eq!(line["kv"]["event"], 205);
    assert_eq!(line["kv"]["shard"], "bolido-llm");
    assert_eq!(line["kv"]["work"], forged);
}
