//! Provides the values published to the fleet, and the submissions of its callers.

use std::time::Duration;

use bergamotswitch_core::entry::{CallOptions, Submission};
use bergamotswitch_core::host::Standing;
use bergamotswitch_core::pool::PoolKind;
use bergamotswitch_core::request::{PartId, TokenCost};
use bergamotswitch_core::route::{
    AccountQuota, CallSemantics, CallerLimits, ColdSpec, EngineSpec, KeyedAccount, PoolSpec,
    PoolSplit, QuotaUnit, Route, RouteConfig,
};
use bergamotswitch_core::rules::{Tier, Verdict};
use bergamotswitch_core::target::RequestRate;
use bergamotswitch_core::target_list::TargetEntry;

use super::domains::{COLD_PER_SECOND, COLD_START_MS};
use super::{BURST, RATE, UNITS, name};

fn account(text: &str) -> KeyedAccount {
    KeyedAccount {
        stated_name: None,
        name: name(text),
        key_hashes: Vec::new(),
        tier: None,
        quota: AccountQuota {
            unit: QuotaUnit::Tokens,
            rate: RATE,
            burst: BURST,
            plain_tokens: 200,
        },
    }
}

pub(super) fn routes() -> RouteConfig {
    RouteConfig {
        version: 1,
        routes: vec![Route {
            name: name("draft"),
            host: "a.example".to_owned(),
            path_prefix: "/".to_owned(),
            work: CallSemantics::Idempotent,
            timeout_ms: 10_000,
            first_answer_ms: 800,
            max_runs: 2,
            tier: Tier(1),
            public: false,
            splits: vec![PoolSplit {
                pool: name("llm"),
                weight: 1,
            }],
        }],
        accounts: vec![account("busy"), account("calm"), account("late")],
        pools: vec![PoolSpec {
            name: name("llm"),
            connection_limit: 1_000,
            engine: Some(EngineSpec {
                slots: 500,
                cache_tokens: 1_000_000_000,
            }),
            cold: ColdSpec {
                start_ms: COLD_START_MS,
                rate: RequestRate::try_from(COLD_PER_SECOND).ok(),
            },
        }],
        limits: CallerLimits::default(),
    }
}

pub(super) fn target_entry(index: usize, slots: u32) -> TargetEntry {
    TargetEntry {
        name: name(&format!("t{index}")),
        pool: name("llm"),
        domain: name(&format!("domain-{}", index % 3)),
        address: ([10, 1, 0, index as u8], 80).into(),
        slots,
        standing: Standing::Live,
        warming_ms: 0,
        warming_revision: 0,
        started_at_ms: None,
        version: Default::default(),
    }
}

pub(super) fn submission(account: &str, work: u128, parts: &[u128]) -> Submission {
    Submission {
        account: name(account),
        pool: name("llm"),
        kind: PoolKind::Engine,
        verdict: Verdict {
            rule: name("draft"),
            tier: Tier(1),
            share: 1,
            domains: Vec::new(),
            dispatch_once: false,
            idempotent: true,
            preemptible: false,
            deadline: Duration::from_secs(10),
        },
        key: None,
        holder: None,
        resubmission: false,
        fingerprint: work,
        cost: TokenCost {
            prefill: UNITS,
            decode: 1,
        },
        prefixes: Vec::new(),
        parts: parts.iter().copied().map(PartId).collect(),
        deadline_in: Duration::from_secs(10),
        streaming: false,
        options: CallOptions {
            max_runs: Some(2),
            first_token_limit: Some(Duration::from_millis(800)),
            ends_at_deadline: true,
            quota_units: UNITS,
            key_authenticated: true,
            ..CallOptions::default()
        },
    }
}
