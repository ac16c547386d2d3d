//! Tests of the text form of a host incarnation.

use bergamotswitch_core::host::{HostIncarnation, HostName, Incarnation};

const DIGITS: &str = "000000000000000000000000000000ff";

#[test]
fn round_trip() {
    let run = HostIncarnation {
        host: HostName::try_from("mza-norte-1").expect("name"),
        incarnation: Incarnation(255),
    };
    let text = run.to_string();
    assert_eq!(text, format!("mza-norte-1~{DIGITS}"));
    assert_eq!(HostIncarnation::try_from(text.as_str()), Ok(run));
}

// Guards against accepting a sign and 31 digits, because the integer parser
// allows a leading sign.
#[test]
fn sign_refused() {
    let signed = format!("mza-norte-1~+{}", &DIGITS[1..]);
    let bad = [signed.as_str(), "mza-norte-1", "~00", "a~00", "a b~00"];
    for text in bad {
        assert!(HostIncarnation::try_from(text).is_err(), "{text}");
    }
}
