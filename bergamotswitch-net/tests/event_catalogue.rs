//! Tests that the event catalogue in `docs/EVENTS.md` matches the events in the code.

use bergamotswitch_core::incident::{Incident, Level};

const CATALOGUE: &str = include_str!("../../docs/EVENTS.md");

struct CatalogueRow<'a> {
    number: u16,
    level: &'a str,
    text: &'a str,
    when: &'a str,
    response: &'a str,
}

fn catalogue_rows() -> Vec<CatalogueRow<'static>> {
    let mut rows = Vec::new();
    for line in CATALOGUE.lines() {
        let cells: Vec<&str> = line.split('|').map(str::trim).collect();
        // Event rows start and end with a bar and have a number in the first cell.
        let [_, number, level, text, when, response, _] = cells[..] else {
            continue;
        };
        let Ok(number) = number.parse() else {
            continue;
        };
        rows.push(CatalogueRow {
            number,
            level,
            text,
            when,
            response,
        });
    }
    rows
}

fn level_text(level: Level) -> &'static str {
    match level {
        Level::Info => "info",
        Level::Warn => "warn",
        Level::Error => "error",
    }
}

#[test]
fn same_events() {
    let written: Vec<(u16, &str, &str)> = catalogue_rows()
        .iter()
        .map(|row| (row.number, row.level, row.text))
        .collect();
    let known: Vec<(u16, &str, &str)> = Incident::ALL
        .iter()
        .map(|incident| {
            let level = level_text(incident.level());
            (incident.number(), level, incident.text())
        })
        .collect();
    assert_eq!(written, known);
}

#[test]
fn complete_rows() {
    let rows = catalogue_rows();
    assert!(!rows.is_empty());
    for row in rows {
        assert!(row.when.ends_with('.'), "{}: when", row.number);
        assert!(row.response.ends_with('.'), "{}: response", row.number);
    }
}

#[test]
fn ascending_numbers() {
    let numbers: Vec<u16> = Incident::ALL.iter().map(|known| known.number()).collect();
    assert!(numbers.is_sorted_by(|left, right| left < right));
}
