//! Provides published values and messages for a fleet of a given size, with names
//! of realistic lengths.

use bergamotswitch_core::client_account::KeyHash;
use bergamotswitch_core::entry::Submission;
use bergamotswitch_core::host::{HostIncarnation, HostName, Incarnation};
use bergamotswitch_core::permit::{KeyClaim, PermitRequest};
use bergamotswitch_core::pool::{PoolKind, PoolShard, TargetPool};
use bergamotswitch_core::publication::Publication;
use bergamotswitch_core::request::{AttemptId, PrefixHash, RequestId, TokenCost};
use bergamotswitch_core::revision::{PublishedValue, Revision};
use bergamotswitch_core::rules::{Tier, Verdict};
use bergamotswitch_core::target::PoolTarget;
use serde_json::{Value, json};
use std::time::Duration;

/// The failure domains and their regions.
pub const DOMAINS: [(&str, &str); 8] = [
    ("mza-norte", "cuyo"),
    ("mza-sur", "cuyo"),
    ("sanjuan", "cuyo"),
    ("espoo-hall", "uusimaa"),
    ("vantaa-hall", "uusimaa"),
    ("kerava-hall", "uusimaa"),
    ("pampa-este", "pampa"),
    ("pampa-oeste", "pampa"),
];

/// A `FleetSize` is the number of hosts, targets and other entries in a fleet.
#[derive(Clone, Copy, Debug)]
pub struct FleetSize {
    pub hosts: usize,
    pub targets: usize,
    pub pools: usize,
    pub accounts: usize,
    pub rules: usize,
}

/// The fleet size that the system is designed for.
pub const DESIGN_SIZE: FleetSize = FleetSize {
    hosts: 380,
    targets: 600,
    pools: 9,
    accounts: 280,
    rules: 100,
};

/// Get a name from a valid text.
///
/// # Panics
///
/// Panics if the text is not a valid name.
pub fn name<T: TryFrom<String>>(text: impl Into<String>) -> T {
    T::try_from(text.into()).ok().expect("invalid name")
}

pub fn domain_of(index: usize) -> &'static str {
    DOMAINS[index % DOMAINS.len()].0
}

pub fn host_name(index: usize) -> HostName {
    name(format!("{}-{index:03}", domain_of(index)))
}

pub fn incarnation_of(index: usize) -> HostIncarnation {
    HostIncarnation {
        host: host_name(index),
        incarnation: Incarnation(0x5bd1_e995_9e37_79b9_7f4a_7c15_0000_0000 + index as u128),
    }
}

pub fn shard(domain: Option<&str>) -> PoolShard {
    PoolShard {
        pool: name("drafting-lm-1"),
        domain: domain.map(name),
    }
}

impl FleetSize {
    /// Get the name and the JSON of every value. Each `step` makes a small change
    /// to some of the values.
    pub fn values(&self, step: u64) -> Vec<(&'static str, Value)> {
        vec![
            ("hosts", self.hosts()),
            ("domains", domains()),
            ("pools", self.pools(step)),
            ("accounts", self.accounts(step)),
            ("limits", json!({"link_key": "a-link-key-of-some-length"})),
            ("rules", self.rules(step)),
        ]
    }

    pub fn hosts(&self) -> Value {
        let hosts: Vec<Value> = (0..self.hosts).map(host_entry).collect();
        json!({"hosts": hosts, "targets": []})
    }

    pub fn pools(&self, step: u64) -> Value {
        let pools: Vec<Value> = (0..self.pools)
            .map(|pool| {
                let pool_targets = (0..self.targets).filter(|index| index % self.pools == pool);
                let targets: Vec<Value> = pool_targets
                    .map(|index| target_entry(index, step))
                    .collect();
                json!({"name": format!("drafting-lm-{pool}"), "kind": "engine",
                    "shard_by_domain": true, "targets": targets})
            })
            .collect();
        json!({"pools": pools})
    }

    pub fn accounts(&self, step: u64) -> Value {
        let accounts: Vec<Value> = (0..self.accounts)
            .map(|index| {
                let key = if index == 0 {
                    format!("key-{step}-")
                } else {
                    "key-".into()
                };
                let hash: String = KeyHash::of(&format!("{key}{index}")).into();
                json!({"name": account(index), "key_hash": hash})
            })
            .collect();
        json!({"accounts": accounts})
    }

    pub fn rules(&self, step: u64) -> Value {
        let rules: Vec<Value> = (0..self.rules)
            .map(|index| {
                let deadline = 30_000 + if index == 0 { step } else { 0 };
                json!({"name": format!("objection-summary-{index}"),
                    "when": {"pools": [format!("drafting-lm-{}", index % self.pools)],
                        "accounts": [account(index % self.accounts)],
                        "work": ["objection-summary"]},
                    "then": {"tier": index % 3, "share": 2, "idempotent": true,
                        "deadline_ms": deadline}})
            })
            .collect();
        json!({"rules": rules})
    }

    /// Get a publication with all values in force.
    pub fn publication(&self) -> Publication {
        let mut publication = Publication::default();
        for (value, body) in self.values(0) {
            let value = published(value, 1, &body);
            publication.apply(&value).expect("invalid published value");
        }
        publication
    }
}

pub fn published(value: &str, revision: u64, body: &Value) -> PublishedValue {
    PublishedValue {
        name: name(value),
        revision: Revision(revision),
        body: body.to_string(),
    }
}

pub fn account(index: usize) -> String {
    format!("isannointi-pohja-{index:03}")
}

fn domains() -> Value {
    let domains: Vec<Value> = DOMAINS
        .iter()
        .map(|(domain, region)| json!({"name": domain, "region": region}))
        .collect();
    json!({"domains": domains})
}

fn host_entry(index: usize) -> Value {
    let ip = format!("10.{}.{}.{}", index % 8, index / 200, 1 + index % 200);
    json!({"name": host_name(index).as_str(), "domain": domain_of(index),
        "caller_address": format!("{ip}:7101"), "link_address": format!("{ip}:7201")})
}

fn target_entry(index: usize, step: u64) -> Value {
    let speed = 2_400 + if index == 0 { step % 1_000 } else { 0 };
    json!({"name": format!("drafting-lm-{index:03}"), "domain": domain_of(index / 9),
        "address": format!("10.{}.{}.{}:7401", 100 + index % 8, index / 200, 1 + index % 200),
        "contract": {"resumes": true, "cancels": true, "refusal_means_not_run": true},
        "expected_speed": speed, "token_limit": 262_144})
}

/// Get `count` targets of one shard, each with a token limit of `limit`.
pub fn targets(count: usize, limit: u32) -> Vec<PoolTarget> {
    (0..count)
        .map(|index| PoolTarget {
            slots: None,
            started_at_ms: None,
            version: Default::default(),
            name: name(format!("drafting-lm-{index:03}")),
            domain: name(domain_of(index)),
            address: ([10, 100, (index / 200) as u8, (index % 200) as u8], 7401).into(),
            contract: Default::default(),
            expected_speed: 2_400,
            token_limit: limit,
        })
        .collect()
}

pub fn pool(targets: Vec<PoolTarget>) -> TargetPool {
    TargetPool {
        name: name("drafting-lm-1"),
        kind: PoolKind::Engine,
        shard_by_domain: false,
        targets,
    }
}

pub fn attempt(incarnation: Incarnation, sequence: u64) -> AttemptId {
    AttemptId {
        request: RequestId {
            incarnation,
            sequence,
        },
        attempt: 0,
    }
}

pub fn claim(key: u64) -> KeyClaim {
    KeyClaim {
        key: u128::from(key) << 64 | 0x9e37_79b9_7f4a_7c15,
        holder: incarnation_of(1),
        resubmission: false,
    }
}

/// Get an ask with 1,000 prompt tokens and 424 output tokens.
pub fn ask(sequence: u64, account_index: usize) -> PermitRequest {
    PermitRequest {
        quota_units: 0,
        first_answer_ms: None,
        attempt: attempt(incarnation_of(1).incarnation, sequence),
        shard: shard(None),
        tier: Tier((sequence % 3) as u8),
        account: name(account(account_index)),
        share: 2,
        cost: TokenCost {
            prefill: 1_000,
            decode: 424,
        },
        prefixes: prefixes(sequence, 4),
        deadline_ms: 300_000,
        waited_ms: 0,
        domains: Vec::new(),
        avoid: Vec::new(),
        preemptible: false,
        claim: None,
    }
}

pub fn prefixes(seed: u64, count: usize) -> Vec<PrefixHash> {
    (0..count as u64)
        .map(|block| PrefixHash((seed * 64 + block).wrapping_mul(0x9e37_79b9_7f4a_7c15)))
        .collect()
}

/// Get a submission like [`ask`]. With a `key`, it is dispatched only once.
pub fn submission(sequence: u64, key: Option<String>) -> Submission {
    let keyed = key.is_some();
    Submission {
        options: bergamotswitch_core::entry::CallOptions::default(),
        account: name(account((sequence % 280) as usize)),
        pool: name("drafting-lm-1"),
        kind: PoolKind::Engine,
        verdict: Verdict {
            rule: name("objection-summary-1"),
            tier: Tier((sequence % 3) as u8),
            share: 2,
            domains: Vec::new(),
            dispatch_once: keyed,
            idempotent: !keyed,
            preemptible: false,
            deadline: Duration::from_secs(300),
        },
        key: key.map(name),
        holder: None,
        resubmission: false,
        fingerprint: u128::from(sequence),
        cost: TokenCost {
            prefill: 1_000,
            decode: 424,
        },
        prefixes: prefixes(sequence, 4),
        parts: Vec::new(),
        deadline_in: Duration::from_secs(300),
        streaming: true,
    }
}
