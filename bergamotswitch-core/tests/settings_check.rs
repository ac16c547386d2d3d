//! Tests of the parsing and validation of host settings.

use bergamotswitch_core::host::HostList;
use bergamotswitch_core::settings::{HostSettings, LogFormat, LogLevel};
use serde_json::{Value, json};

fn minimal_settings() -> Value {
    json!({"name": "h1", "domain": "north", "caller_address": "127.0.0.1:0",
        "link_address": "127.0.0.1:0", "configuration_services": ["127.0.0.1:7301"],
        "host_lists": ["127.0.0.1:7302"]})
}

fn places(settings: &Value) -> Vec<String> {
    let findings = HostSettings::try_from_json(&settings.to_string()).unwrap_err();
    let mut places: Vec<String> = findings.iter().map(|f| f.place.clone()).collect();
    places.sort();
    places
}

#[test]
fn valid_settings() {
    let mut settings = minimal_settings();
    let read = HostSettings::try_from_json(&settings.to_string()).unwrap();
    assert_eq!(read.log.format, LogFormat::Text);
    assert_eq!(read.log.level, LogLevel::Info);
    assert_eq!(read.configuration_services.len(), 1);
    settings["log"] = json!({"format": "json", "level": "debug"});
    let read = HostSettings::try_from_json(&settings.to_string()).unwrap();
    assert_eq!(
        (read.log.format, read.log.level),
        (LogFormat::Json, LogLevel::Debug)
    );
}

#[test]
fn all_findings() {
    let settings = json!({"name": 4, "caller_address": "localhost:80",
        "link_address": "10.0.0.1", "configuration_services": ["10.0.0.1:0", "10.0.0.1:7"],
        "host_lists": "10.0.0.1:8", "log": {"format": "xml", "level": "loud", "file": "x"},
        "tier": 1});
    let expected = "caller_address configuration_services/0 domain host_lists link_address \
        log/file log/format log/level name tier";
    let expected = expected.split_whitespace();
    let expected: Vec<String> = expected.map(|place| format!("settings:/{place}")).collect();
    assert_eq!(places(&settings), expected);
}

#[test]
fn missing_fields() {
    for field in minimal_settings().as_object().unwrap().keys() {
        let mut settings = minimal_settings();
        settings.as_object_mut().unwrap().remove(field);
        assert_eq!(places(&settings), [format!("settings:/{field}")]);
    }
}

#[test]
fn shared_address() {
    // Guards against settings that give both listeners the same address, with
    // which a host would fail to start.
    let mut settings = minimal_settings();
    settings["caller_address"] = json!("127.0.0.1:7101");
    settings["link_address"] = json!("127.0.0.1:7101");
    settings["host_lists"] = json!(["10.0.0.1:7", "10.0.0.1:7"]);
    assert_eq!(
        places(&settings),
        ["settings:/host_lists/1", "settings:/link_address"]
    );
}

#[test]
fn host_list_mismatch() {
    let list = |domain: &str, port: u16| {
        let list = json!({"hosts": [{"name": "h1", "domain": domain,
            "caller_address": format!("10.0.0.1:{port}"), "link_address": "10.0.0.1:7201"}]});
        serde_json::from_value::<HostList>(list).unwrap()
    };
    let mut settings = minimal_settings();
    settings["caller_address"] = json!("0.0.0.0:7101");
    let settings = HostSettings::try_from_json(&settings.to_string()).unwrap();
    let places = |hosts: &HostList| -> Vec<String> {
        let findings = settings.check_listed(hosts);
        findings.iter().map(|f| f.place.clone()).collect()
    };
    assert_eq!(places(&list("north", 7101)), Vec::<String>::new());
    let expected = ["settings:/domain", "settings:/caller_address"];
    assert_eq!(places(&list("south", 7102)), expected);
    assert_eq!(places(&HostList::default()), ["settings:/name"]);
}

#[test]
fn invalid_json() {
    let findings = HostSettings::try_from_json("{\"name\": ").unwrap_err();
    assert_eq!(findings.len(), 1);
    let findings = HostSettings::try_from_json("[]").unwrap_err();
    assert_eq!(
        findings.to_string(),
        "settings:: found []; allowed: an object"
    );
}
