//! Tests of the order of a stream's events.

use bergamotswitch_core::event_order::{EventId, EventOrder, EventPlace};
use bergamotswitch_draw::for_each;

fn id(text: &str) -> EventId {
    text.parse().expect("an id")
}

fn numbered(text: &str) -> EventPlace {
    EventPlace::Numbered(id(text))
}

#[test]
fn id_texts() {
    assert_eq!(id("12").to_string(), "12");
    assert_eq!(id("007"), id("7"));
    assert!(id("10") > id("9"));
    for text in ["", " 1", "+1", "-1", "1a", "1.5", "18446744073709551616"] {
        assert!(text.parse::<EventId>().is_err(), "{text:?}");
    }
}

// Guards against events that come twice or go back because a run does not go on after the
// last event passed on.
#[test]
fn resumed_run() {
    let after_three = || EventOrder::after(Some(id("3")));
    for place in [numbered("3"), numbered("1"), EventPlace::Unnumbered] {
        assert!(!after_three().accept(place), "{place:?}");
    }
    // An event may hold several tokens.
    for place in [numbered("4"), numbered("9"), EventPlace::Empty] {
        assert!(after_three().accept(place), "{place:?}");
    }
    let mut order = after_three();
    assert!(order.accept(EventPlace::Empty));
    assert!(!order.accept(EventPlace::Unnumbered));
    assert!(order.accept(numbered("4")));
    assert!(order.accept(EventPlace::Unnumbered));
    assert!(!order.accept(numbered("4")));
}

#[test]
fn first_run() {
    let mut order = EventOrder::after(None);
    for place in [EventPlace::Unnumbered, numbered("0"), numbered("5")] {
        assert!(order.accept(place), "{place:?}");
    }
    assert!(!order.accept(numbered("5")));
}

// Guards against any sequence of events whose ids do not increase.
#[test]
fn accepted_ids() {
    for_each(300, |(last, numbers): &(Option<u8>, Vec<u8>)| {
        let place = |number: &u8| numbered(&number.to_string());
        let mut order = EventOrder::after(last.map(|last| id(&last.to_string())));
        let accepted = numbers.iter().filter(|number| order.accept(place(number)));
        let passed: Vec<u8> = last.iter().chain(accepted).copied().collect();
        assert!(passed.is_sorted_by(|a, b| a < b), "{passed:?}");
    });
}
