//! Provides the simulated platform: the configuration service and the host list,
//! with outages and stale reads.

use bergamotswitch_core::revision::PublishedValue;
use serde_json::{Value, json};

use super::*;

pub const DOMAINS: [&str; 2] = ["north", "south"];
const SERVICE_TIME: Duration = Duration::from_millis(3);
const WATCH_TIME: Duration = Duration::from_secs(30);

/// A `ServiceCall` is a pending read or watch of a published value.
#[derive(Clone, Debug)]
pub struct ServiceCall {
    number: u64,
    value: ValueName,
    after: Option<Revision>,
    /// Whether there is a revision to answer with. Otherwise the watch times out.
    due: bool,
}

#[derive(Clone, Debug)]
struct Published {
    value: PublishedValue,
    good: bool,
    at: Moment,
}

#[derive(Debug, Default)]
pub struct Platform {
    values: BTreeMap<ValueName, Vec<Published>>,
    /// The old revision served for each value while reads are stale.
    stale_positions: Option<BTreeMap<ValueName, usize>>,
    pub up: bool,
    /// The target listed as leaving, and since when.
    pub leaving: Option<(usize, Moment)>,
    count: u64,
}

fn hosts_body(leaving: Option<usize>) -> Value {
    let host = |index: usize| {
        json!({"name": HOSTS[index], "domain": DOMAINS[index % 2],
            "caller_address": format!("10.0.0.{}:80", index + 1),
            "link_address": format!("10.0.0.{}:81", index + 1)})
    };
    let target = |index: usize| {
        let standing = ["live", "leaving"][usize::from(leaving == Some(index))];
        json!({"name": TARGETS[index], "standing": standing})
    };
    let hosts: Vec<Value> = (0..HOSTS.len()).map(host).collect();
    let targets: Vec<Value> = (0..TARGETS.len()).map(target).collect();
    json!({"hosts": hosts, "targets": targets})
}

/// Get the pools. A refusal by `t1` leaves open whether the request was run; a refusal
/// by another target means that it was not.
fn pools_body() -> Value {
    let target = |index: usize| {
        json!({"name": TARGETS[index], "domain": DOMAINS[index % 2],
            "address": format!("10.0.1.{}:80", index + 1), "token_limit": 330,
            "contract": {"refusal_means_not_run": index != 1}})
    };
    json!({"pools": [{"name": "llm", "targets": [target(0), target(1), target(2)]},
        {"name": "desk", "kind": "plain", "targets": [target(3)]}]})
}

fn rules_body(tier: u64) -> Value {
    json!({"rules": [{"name": "all", "then": {"tier": tier}}]})
}

impl Platform {
    pub fn start() -> Self {
        let mut platform = Platform {
            up: true,
            ..Platform::default()
        };
        let accounts = json!({"accounts": [{"name": "a", "key_hash": "0a".repeat(32)}]});
        let domains = DOMAINS.map(|name| json!({"name": name, "region": "r"}));
        let limits = json!({"link_key": "0123456789abcdef", "kept_answers": 6,
            "queue_limit_requests": 8});
        let values = [
            ("hosts", hosts_body(None)),
            ("pools", pools_body()),
            ("rules", rules_body(3)),
            ("accounts", accounts),
            ("domains", json!({ "domains": domains })),
            ("limits", limits),
        ];
        for (value, body) in values {
            platform.publish(Moment::START, value, body.to_string(), true);
        }
        platform
    }

    fn publish(&mut self, at: Moment, value: &str, body: String, good: bool) {
        let value: ValueName = name(value);
        let history = self.values.entry(value.clone()).or_default();
        let revision = Revision(history.len() as u64 + 1);
        let value = PublishedValue {
            name: value,
            revision,
            body,
        };
        history.push(Published { value, good, at });
    }

    fn served(&self, value: &ValueName) -> &Published {
        let history = &self.values[value];
        let seen = self
            .stale_positions
            .as_ref()
            .map(|stale_positions| stale_positions[value]);
        &history[seen.unwrap_or(history.len()) - 1]
    }
}

impl FleetSimulation {
    pub(super) fn publish_rules(&mut self, tier: u8) {
        self.count("publications");
        let (body, good) = match tier % 4 {
            0 => ("{\"rules\": 7}".to_owned(), false),
            tier => (rules_body(u64::from(tier)).to_string(), true),
        };
        self.platform.publish(self.now, "rules", body, good);
        self.recheck_watches();
    }

    /// Publish a host list with one leaving target, or with none.
    pub(super) fn publish_leaving(&mut self, target: Option<usize>) {
        self.count("host lists");
        self.platform.leaving = target.map(|target| (target, self.now));
        let body = hosts_body(target).to_string();
        self.platform.publish(self.now, "hosts", body, true);
        self.recheck_watches();
    }

    pub(super) fn publish_final_changes(&mut self) {
        self.publish_rules(1);
        self.publish_leaving(Some(0));
    }

    /// Have the service fail every call, or serve old revisions if `stale`.
    pub(super) fn fail_service(&mut self, stale: bool, span: Duration) {
        if !self.platform.up || self.platform.stale_positions.is_some() {
            return;
        }
        self.faults += 1;
        self.last_change_at = self.now;
        self.service_since = Moment::NEVER;
        match stale {
            true => {
                let old = |history: &Vec<Published>| history.len().saturating_sub(2).max(1);
                let values = self.platform.values.iter();
                let stale_positions = values.map(|(name, history)| (name.clone(), old(history)));
                self.platform.stale_positions = Some(stale_positions.collect());
            }
            false => self.platform.up = false,
        }
        self.recheck_watches();
        self.post(span, ScheduledTask::ServiceBack);
    }

    pub(super) fn service_back(&mut self) {
        self.faults -= 1;
        self.platform.up = true;
        self.platform.stale_positions = None;
        self.last_change_at = self.now;
        self.service_since = self.now;
        self.recheck_watches();
    }

    /// Recheck each pending watch for a revision to answer with.
    fn recheck_watches(&mut self) {
        let waits = |task: &ScheduledTask| match task {
            ScheduledTask::Answer(_, _, call) => !call.due,
            _ => false,
        };
        let waiting = self.tasks.iter().filter(|(_, task)| waits(task));
        let keys: Vec<_> = waiting.map(|(key, _)| *key).collect();
        for key in keys {
            if let Some(ScheduledTask::Answer(host, run, mut call)) = self.tasks.remove(&key) {
                call.due = self.is_due(&call.value, call.after);
                match call.due {
                    true => self.post(SERVICE_TIME, ScheduledTask::Answer(host, run, call)),
                    false => {
                        self.tasks
                            .insert(key, ScheduledTask::Answer(host, run, call));
                    }
                }
            }
        }
    }

    fn is_due(&self, value: &ValueName, after: Option<Revision>) -> bool {
        !self.platform.up || Some(self.platform.served(value).value.revision) != after
    }

    pub(super) fn call(&mut self, host: usize, value: ValueName, after: Option<Revision>) {
        self.platform.count += 1;
        let number = self.platform.count;
        let host_state = &mut self.hosts[host];
        host_state.calls.insert(value.clone(), number);
        let run = host_state.run.incarnation;
        let due = self.is_due(&value, after);
        let wait = match due {
            true => SERVICE_TIME,
            false => WATCH_TIME,
        };
        let call = ServiceCall {
            number,
            value,
            after,
            due,
        };
        self.post(wait, ScheduledTask::Answer(host, run, call));
    }

    pub(super) fn answer(&mut self, host: usize, call: ServiceCall) {
        let host_state = &mut self.hosts[host];
        // A later call replaces an earlier one for the same value.
        if host_state.calls.get(&call.value) != Some(&call.number) {
            return;
        }
        host_state.calls.remove(&call.value);
        let event = match (self.platform.up, call.due) {
            (false, _) => NodeEvent::ReadFailed(call.value),
            (true, true) => NodeEvent::Read(self.platform.served(&call.value).value.clone()),
            (true, false) => NodeEvent::Unchanged(call.value),
        };
        self.handle(host, event);
    }

    /// Record the revisions in force on a host. Check that each is valid and not lower
    /// than an earlier one of the same process.
    pub(super) fn record_in_force(&mut self, host: usize) {
        let Some(core) = &self.hosts[host].core else {
            return;
        };
        for standing in core.view(self.now).revisions.values {
            let Some(revision) = standing.in_force else {
                continue;
            };
            let published = &self.platform.values[&standing.name][revision.0 as usize - 1];
            let before = self.hosts[host].in_force.insert(standing.name, revision);
            if before > Some(revision) || !published.good {
                self.oracle.record_violation(Violation::RevisionReverted);
            }
        }
    }

    /// Check that the newest valid revision is in force on each host that has been
    /// running for long enough while the service was available. Partitions between
    /// hosts must not prevent that.
    pub(super) fn check_in_force(&mut self) {
        for host in 0..HOSTS.len() {
            let host_state = &self.hosts[host];
            if host_state.core.is_none() || host_state.paused_queue.is_some() {
                continue;
            }
            for (value, history) in &self.platform.values {
                let Some(newest) = history.last().filter(|newest| newest.good) else {
                    continue;
                };
                let since = newest
                    .at
                    .max(host_state.running_since)
                    .max(self.service_since);
                if self.now <= since.plus(IN_FORCE_WITHIN) {
                    continue;
                }
                *self.coverage.entry("in force").or_default() += 1;
                if host_state.in_force.get(value) != Some(&newest.value.revision) {
                    self.oracle.record_violation(Violation::RevisionLate);
                }
            }
        }
    }
}
