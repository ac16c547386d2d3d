//! Provides the `status` command, which shows one host's view of the fleet.

use std::fmt;
use std::net::SocketAddr;
use std::process::ExitCode;

use bergamotswitch_core::rules::TIER_COUNT;
use serde_json::Value;

use super::error::CommandError;
use super::output::write_out;
use super::table::TextTable;
use super::{client, serve};

/// The placeholder for a value that is absent.
const ABSENT: &str = "-";

/// Print a host's view. Exits with 1 if the host is not ready to serve.
pub(super) fn status(host: SocketAddr, json: bool) -> Result<ExitCode, CommandError> {
    let answer = serve::runtime()?.block_on(client::get(host, "/status"))?;
    let view: Value = serde_json::from_slice(&answer.body)
        .map_err(|error| CommandError::Answer(format!("{host}/status: {error}")))?;
    match json {
        true => write_out(&format!("{view:#}\n"))?,
        false => write_out(&StatusPage(&view).to_string())?,
    }
    match view["ready"].as_bool() {
        Some(true) => Ok(ExitCode::SUCCESS),
        _ => Ok(ExitCode::from(1)),
    }
}

/// A `StatusPage` formats a host's view as text. Missing fields are tolerated,
/// because the host may run another version than this command.
struct StatusPage<'a>(&'a Value);

impl fmt::Display for StatusPage<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let view = self.0;
        writeln!(f, "run      {}", text(&view["run"]))?;
        writeln!(f, "domain   {}", text(&view["domain"]))?;
        writeln!(f, "state    {}", state(view))?;
        writeln!(f, "owns     {}", list(&view["owns"], shard_name))?;
        for finding in items(&view["cross_findings"]) {
            writeln!(f, "finding  {}", text(finding))?;
        }
        write_revisions(f, view)?;
        write_requests(f, &view["desk"])?;
        for shard in items(&view["shards"]) {
            write_shard(f, shard)?;
        }
        write_peers(f, &view["peers"])
    }
}

/// Get the host's serving state and, if it is not ready, what is missing.
fn state(view: &Value) -> String {
    if view["stopping"] == true {
        return "stopping".to_owned();
    }
    match view["ready"] == true {
        true => "serves".to_owned(),
        false => format!("not ready, missing: {}", list(&view["missing"], text)),
    }
}

fn write_revisions(f: &mut fmt::Formatter<'_>, view: &Value) -> fmt::Result {
    let revisions = &view["revisions"];
    let mut table = TextTable::new(&["value", "in force", "seen", "refused"]).with_indent(2);
    let mut findings = Vec::new();
    for value in items(&revisions["values"]) {
        let refused = &value["refused"];
        table.add(vec![
            text(&value["name"]),
            text(&value["in_force"]),
            text(&value["seen"]),
            text(&refused["revision"]),
        ]);
        findings.extend(items(&refused["findings"]));
    }
    let role = match revisions["is_reader"] == true {
        true => "reads the configuration service",
        false => "receives changes from peers",
    };
    let calls = text(&view["service_calls"]);
    writeln!(
        f,
        "\nrevisions ({role}; {calls} calls to the service)\n{table}"
    )?;
    for finding in findings {
        writeln!(f, "  refused: {}", text(finding))?;
    }
    if view["routes_unreadable"] == true {
        writeln!(
            f,
            "  the newest routes could not be read; API keys cease to be trusted\n"
        )?;
    }
    if revisions["alone"] == true {
        writeln!(
            f,
            "  no peer has confirmed these revisions; the configuration service may be stale\n"
        )?;
    }
    Ok(())
}

fn write_requests(f: &mut fmt::Formatter<'_>, requests: &Value) -> fmt::Result {
    // Only gateways use tiers above those of the rules; show them only if used.
    let used = |field: &str| {
        items(&requests[field])
            .iter()
            .rposition(|count| *count != 0)
    };
    let last = used("waiting").max(used("running")).unwrap_or_default();
    let shown = TIER_COUNT.max(last + 1);
    let mut head = vec!["tier".to_owned()];
    head.extend((0..shown).map(|tier| tier.to_string()));
    let head: Vec<&str> = head.iter().map(String::as_str).collect();
    let mut table = TextTable::new(&head).with_indent(2);
    for field in ["waiting", "running"] {
        let mut row = vec![field.to_owned()];
        row.extend(items(&requests[field]).iter().take(shown).map(text));
        table.add(row);
    }
    writeln!(f, "requests of this host's callers\n{table}")?;
    let counts = [
        "accepted",
        "dispatched",
        "retried",
        "kept_answers",
        "known_keys",
        "crashed_calls",
        "quarantined_calls",
        "limited_targets",
        "malformed_paces",
        "unsent_paces",
        "resting_targets",
        "lost_paths",
    ];
    let counts: Vec<String> = counts
        .iter()
        .map(|field| format!("{} {}", field.replace('_', " "), text(&requests[*field])))
        .collect();
    writeln!(f, "  {}\n", counts.join(", "))?;
    Ok(())
}

fn write_shard(f: &mut fmt::Formatter<'_>, shard: &Value) -> fmt::Result {
    writeln!(
        f,
        "shard {} (owned by this host)",
        shard_name(&shard["shard"])
    )?;
    let queued = list(&shard["queued"], |tier| {
        let (asks, tokens) = (text(&tier["asks"]), text(&tier["tokens"]));
        format!(
            "tier {}: {asks} requests, {tokens} tokens",
            text(&tier["tier"])
        )
    });
    writeln!(f, "  queue    {queued}")?;
    let counts = ["in_flight", "granted", "preempted", "reclaimed"];
    let counts: Vec<String> = counts
        .iter()
        .map(|field| format!("{} {}", field.replace('_', " "), text(&shard[*field])))
        .collect();
    writeln!(f, "  permits  {}", counts.join(", "))?;
    let refusals = list(&shard["refusals"], |refusal| {
        format!("{} {}", text(&refusal["reason"]), text(&refusal["count"]))
    });
    writeln!(f, "  refused  {refusals}")?;
    if !items(&shard["account_shares"]).is_empty() {
        writeln!(f, "{}", share_table(&shard["account_shares"]))?;
    }
    let promises = list(&shard["promises"], |promise| {
        format!("{} {}", text(&promise["state"]), text(&promise["count"]))
    });
    let open = text(&shard["promised"]);
    writeln!(f, "  returns  {open} promised; {promises}")?;
    writeln!(f, "{}", target_table(&shard["targets"]))?;
    Ok(())
}

fn share_table(shares: &Value) -> TextTable {
    let head = ["account", "tier", "weight", "used ms", "share ms", "ratio"];
    let mut table = TextTable::new(&head).with_indent(2);
    for share in items(shares) {
        let ratio = share["ratio_permille"].as_f64().unwrap_or(1_000.0) / 1_000.0;
        table.add(vec![
            text(&share["account"]),
            text(&share["tier"]),
            text(&share["weight"]),
            text(&share["used_ms"]),
            text(&share["share_ms"]),
            format!("{ratio:.2}"),
        ]);
    }
    table
}

fn target_state(target: &Value) -> &'static str {
    if target["leaving"] == true {
        return "leaving";
    }
    if target["backed_off"] == true {
        return "backed off";
    }
    match target["cold_ms"].as_u64() {
        None | Some(0) => "in use",
        Some(_) => "cold",
    }
}

fn target_table(targets: &Value) -> TextTable {
    let head = [
        "target",
        "state",
        "permits",
        "tokens",
        "foreign",
        "limit",
        "tokens/s",
        "rate limit/s",
        "pace",
        "run ms",
    ];
    let mut table = TextTable::new(&head).with_indent(2);
    for target in items(targets) {
        let state = target_state(target);
        table.add(vec![
            text(&target["name"]),
            state.to_owned(),
            text(&target["permits"]),
            text(&target["outstanding_tokens"]),
            text(&target["foreign_tokens"]),
            text(&target["limit"]),
            text(&target["speed"]),
            rate_text(&target["rate_limit"]),
            text(&target["pace"]),
            text(&target["run_ms"]),
        ]);
    }
    table
}

/// Format a rate in requests per 1,000 seconds as requests per second.
fn rate_text(rate: &Value) -> String {
    let rate = rate.as_f64().map(|rate| rate / 1_000.0);
    rate.map_or("-".to_owned(), |rate| rate.to_string())
}

fn write_peers(f: &mut fmt::Formatter<'_>, peers: &Value) -> fmt::Result {
    let head = ["peer", "state", "load %", "run"];
    let mut table = TextTable::new(&head).with_indent(2);
    for peer in items(peers) {
        let state = match (peer["stopping"] == true, peer["reachable"].as_bool()) {
            (true, _) => "stopping",
            (false, Some(true)) => "reachable",
            (false, Some(false)) => "unreachable",
            (false, None) => "not monitored",
        };
        let load = peer["load_permille"].as_f64().unwrap_or_default() / 10.0;
        table.add(vec![
            text(&peer["host"]),
            state.to_owned(),
            format!("{load:.1}"),
            text(&peer["incarnation"]),
        ]);
    }
    match table.is_empty() {
        true => writeln!(f, "no peers"),
        false => write!(f, "peers\n{table}"),
    }
}

fn items(value: &Value) -> &[Value] {
    value.as_array().map(Vec::as_slice).unwrap_or_default()
}

fn list(value: &Value, write: impl Fn(&Value) -> String) -> String {
    let items: Vec<String> = items(value).iter().map(write).collect();
    match items.is_empty() {
        true => ABSENT.to_owned(),
        false => items.join("; "),
    }
}

/// Get a shard's name in the form used by log events and refusals.
fn shard_name(shard: &Value) -> String {
    match shard["domain"].as_str() {
        Some(domain) => format!("{}@{domain}", text(&shard["pool"])),
        None => text(&shard["pool"]),
    }
}

/// Format a JSON value on one line, strings without quotes.
fn text(value: &Value) -> String {
    match value {
        Value::Null => ABSENT.to_owned(),
        Value::String(text) => text.clone(),
        value => value.to_string(),
    }
}
