//! Tests of the bound for the time at which a signal was sent.

use bergamotswitch_core::clock::Moment;
use bergamotswitch_core::signal_watch::SignalWatch;

fn millis(count: u64) -> Moment {
    Moment::from_millis(count)
}

#[test]
fn regular_looks() {
    let mut watch = SignalWatch::default();
    assert_eq!(watch.sent_after(), Moment::START);
    for at in [50, 100, 150] {
        watch.record_look(millis(at));
    }
    assert_eq!(watch.sent_after(), millis(100));
}

// Guards against a signal that is taken for new because the process was suspended
// between its look and the record of it.
#[test]
fn suspended_in_look() {
    let mut watch = SignalWatch::default();
    watch.record_look(millis(50));
    watch.record_look(millis(4_000));
    assert_eq!(watch.sent_after(), millis(50));
}
