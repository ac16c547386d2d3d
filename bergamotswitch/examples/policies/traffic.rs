//! Provides the deployments and scenarios, and generates their requests.

use std::time::Duration;

use bergamotswitch_core::entry::Submission;
use bergamotswitch_core::name::{AccountName, DomainName, PoolName, WorkKind};
use bergamotswitch_core::pool::{PoolKind, TargetPool};
use bergamotswitch_core::publication::Publication;
use bergamotswitch_core::request::{MAX_PREFIX_HASHES, PrefixHash, TokenCost};
use bergamotswitch_core::revision::{PublishedValue, Revision};
use bergamotswitch_core::rules::RequestAttributes;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::engine::{BLOCK_TOKENS, PREFILL_FACTOR};

/// The number of entry hosts in a deployment.
pub const HOST_COUNT: usize = 8;

/// When the load starts, in microseconds: by then the hosts are connected.
pub const LOAD_START: u64 = 10_000_000;

const SECOND: u64 = 1_000_000;

/// The seed of the generated requests.
const SEED: u64 = 20_260_801;

/// A `WorkProfile` describes the requests of one kind of work. Prompt and output
/// lengths have a log-uniform distribution.
#[derive(Clone, Debug)]
pub struct WorkProfile {
    work: &'static str,
    prompt: (u32, u32),
    output: (u32, u32),
    /// The number of leading prefix blocks that are shared between requests.
    shared_blocks: usize,
    /// The number of distinct shared prefixes for each client account.
    shared_prefixes: u64,
    streaming: bool,
}

/// A `TestDeployment` is one of the example deployments of this repository, with
/// [`HOST_COUNT`] hosts.
pub struct TestDeployment {
    pub name: &'static str,
    pub values: Vec<PublishedValue>,
    pub publication: Publication,
    pub engines: TargetPool,
    pub plain: TargetPool,
    /// The profiles of top-tier, dispatch-once, short and long requests.
    profiles: [WorkProfile; 4],
    plain_work: &'static str,
}

macro_rules! files {
    ($dir:literal) => {
        [
            (
                "rules",
                include_str!(concat!("../../../deployments/", $dir, "/rules.json")),
            ),
            (
                "accounts",
                include_str!(concat!("../../../deployments/", $dir, "/accounts.json")),
            ),
            (
                "pools",
                include_str!(concat!("../../../deployments/", $dir, "/pools.json")),
            ),
            (
                "domains",
                include_str!(concat!("../../../deployments/", $dir, "/domains.json")),
            ),
            (
                "limits",
                include_str!(concat!("../../../deployments/", $dir, "/limits.json")),
            ),
        ]
    };
}

impl TestDeployment {
    pub fn red_austral() -> Self {
        let profiles = [
            profile("dawn-report", (400, 1_600), (150, 400), 2, true),
            profile("trajectory-report", (1_000, 4_000), (300, 800), 4, true),
            profile("candidate-tag", (150, 300), (4, 16), 0, false),
            profile("sky-log-summary", (6_000, 24_000), (300, 900), 8, false),
        ];
        TestDeployment::new("Red Austral", &files!("red-austral"), profiles, "status")
    }

    pub fn naapuriseina() -> Self {
        let profiles = [
            profile("objection-summary", (800, 3_200), (200, 500), 2, true),
            profile("notice-draft", (500, 2_000), (400, 1_200), 4, true),
            profile("letter", (150, 300), (4, 16), 0, false),
            profile("clause-check", (4_000, 16_000), (100, 400), 12, false),
        ];
        let files = files!("naapuriseina");
        TestDeployment::new("Naapuriseina", &files, profiles, "status-lookup")
    }

    fn new(
        name: &'static str,
        files: &[(&str, &str)],
        profiles: [WorkProfile; 4],
        plain_work: &'static str,
    ) -> Self {
        let mut values: Vec<PublishedValue> =
            files.iter().map(|file| value(file.0, file.1)).collect();
        let mut publication = Publication::default();
        for value in &values {
            publication.apply(value).expect("invalid published value");
        }
        let domains: Vec<DomainName> = publication
            .domains
            .domains()
            .iter()
            .map(|d| d.name.clone())
            .collect();
        let hosts: Vec<String> = (0..HOST_COUNT)
            .map(|i| {
                let domain = &domains[i % domains.len()];
                format!(
                    r#"{{"name":"entry-{i}","domain":"{domain}","caller_address":"127.0.0.1:{}","link_address":"127.0.0.1:{}"}}"#,
                    7100 + i,
                    7200 + i
                )
            })
            .collect();
        let hosts = value("hosts", &format!(r#"{{"hosts":[{}]}}"#, hosts.join(",")));
        publication.apply(&hosts).expect("invalid host list");
        values.push(hosts);
        let pools = publication.pools.pools();
        let of_kind = |kind| {
            pools
                .iter()
                .find(|pool| pool.kind == kind)
                .expect("no pool of this kind")
                .clone()
        };
        TestDeployment {
            name,
            engines: of_kind(PoolKind::Engine),
            plain: of_kind(PoolKind::Plain),
            values,
            publication,
            profiles,
            plain_work,
        }
    }
}

fn value(name: &str, body: &str) -> PublishedValue {
    PublishedValue {
        name: name.to_owned().try_into().expect("invalid name"),
        revision: Revision(1),
        body: body.to_owned(),
    }
}

fn profile(
    work: &'static str,
    prompt: (u32, u32),
    output: (u32, u32),
    shared_blocks: usize,
    streaming: bool,
) -> WorkProfile {
    WorkProfile {
        work,
        prompt,
        output,
        shared_blocks,
        shared_prefixes: 4,
        streaming,
    }
}

/// A `LoadPhase` is a period with constant arrival rates.
#[derive(Clone, Debug)]
pub struct LoadPhase {
    pub seconds: u64,
    /// The offered load of each profile, as a fraction of the engines' capacity.
    pub loads: [f64; 4],
    /// The additional load of the second profile from the fourth client account,
    /// as a fraction of the engines' capacity.
    pub flood: f64,
}

/// A `Fault` is a fault that is injected in a scenario.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    None,
    /// The engine is ten times slower during the middle phase.
    SlowEngine(usize),
    /// The owner of the engine pool fails halfway through the middle phase. Its
    /// connections close, or stay open without traffic if `silent`.
    OwnerDeath {
        silent: bool,
    },
}

/// A `TestScenario` is the load of a run and the fault injected in it.
#[derive(Clone, Debug)]
pub struct TestScenario {
    pub name: &'static str,
    pub phases: Vec<LoadPhase>,
    pub fault: Fault,
}

const CALM: [f64; 4] = [0.10, 0.15, 0.05, 0.20];
const STEADY: [f64; 4] = [0.14, 0.21, 0.07, 0.28];
const BURST: [f64; 4] = [0.70, 0.30, 0.20, 0.80];
const LONG_LOGS: [f64; 4] = [0.10, 0.15, 0.05, 1.70];

impl TestScenario {
    pub fn all() -> Vec<TestScenario> {
        let plain = |name, loads| TestScenario::new(name, loads, 0.0, Fault::None);
        vec![
            plain("steady 0.7", STEADY),
            plain("dawn burst 2x", BURST),
            TestScenario::new("slow engine", STEADY, 0.0, Fault::SlowEngine(6)),
            TestScenario::new(
                "owner dies in burst",
                BURST,
                0.0,
                Fault::OwnerDeath { silent: false },
            ),
            TestScenario::new(
                "owner silent in burst",
                BURST,
                0.0,
                Fault::OwnerDeath { silent: true },
            ),
            plain("long-log flood", LONG_LOGS),
            TestScenario::new("account flood", STEADY, 1.3, Fault::None),
        ]
    }

    fn new(name: &'static str, middle: [f64; 4], flood: f64, fault: Fault) -> Self {
        let phase = |seconds, loads, flood| LoadPhase {
            seconds,
            loads,
            flood,
        };
        TestScenario {
            name,
            phases: vec![
                phase(30, CALM, 0.0),
                phase(60, middle, flood),
                phase(60, CALM, 0.0),
            ],
            fault,
        }
    }

    pub fn load_end(&self) -> u64 {
        let seconds: u64 = self.phases.iter().map(|phase| phase.seconds).sum();
        LOAD_START + seconds * SECOND
    }

    /// Get the start and the end of the middle phase.
    pub fn middle(&self) -> (u64, u64) {
        let from = LOAD_START + self.phases[0].seconds * SECOND;
        (from, from + self.phases[1].seconds * SECOND)
    }
}

/// An `OfferedRequest` is a request that a caller sends in a run.
#[derive(Clone, Debug)]
pub struct OfferedRequest {
    pub at: u64,
    pub deadline: u64,
    /// The entry host that the caller uses.
    pub host: usize,
    pub submission: Submission,
    /// The output tokens that the engine generates, at most the estimated cost.
    pub output: u32,
}

/// The fraction of the traffic of each client account.
const ACCOUNT_FRACTIONS: [f64; 5] = [0.40, 0.30, 0.10, 0.10, 0.10];

/// Generate the requests of a scenario in order of arrival. They are the same
/// for every policy.
pub fn generate_requests(
    deployment: &TestDeployment,
    scenario: &TestScenario,
) -> Vec<OfferedRequest> {
    let mut rng = StdRng::seed_from_u64(SEED);
    let mut offered = Vec::new();
    let mut from = LOAD_START;
    for phase in &scenario.phases {
        let until = from + phase.seconds * SECOND;
        for (index, profile) in deployment.profiles.iter().enumerate() {
            let rate = phase.loads[index] / pool_seconds_per_request(deployment, profile);
            generate_arrivals(&mut rng, from, until, rate, |rng, at| {
                let account = pick_account(rng);
                offered.push(engine_request(deployment, profile, account, at, rng));
            });
        }
        if phase.flood > 0.0 {
            let profile = &deployment.profiles[1];
            let rate = phase.flood / pool_seconds_per_request(deployment, profile);
            generate_arrivals(&mut rng, from, until, rate, |rng, at| {
                offered.push(engine_request(deployment, profile, 3, at, rng));
            });
        }
        generate_arrivals(&mut rng, from, until, 20.0, |rng, at| {
            let account = pick_account(rng);
            offered.push(plain_request(deployment, account, at, rng));
        });
        from = until;
    }
    offered.sort_by_key(|request| request.at);
    offered
}

/// Call `on_arrival` at the arrival times of a Poisson process.
fn generate_arrivals(
    rng: &mut StdRng,
    from: u64,
    until: u64,
    per_second: f64,
    mut on_arrival: impl FnMut(&mut StdRng, u64),
) {
    let mut at = from as f64;
    loop {
        let uniform: f64 = rng.random();
        at += -(1.0 - uniform).ln() * 1e6 / per_second;
        if at >= until as f64 {
            return;
        }
        on_arrival(rng, at as u64);
    }
}

/// Get the time in seconds that the whole engine pool needs for an average
/// request, with full batches and an empty prefix cache.
fn pool_seconds_per_request(deployment: &TestDeployment, profile: &WorkProfile) -> f64 {
    let mean = |(low, high): (u32, u32)| {
        let (low, high) = (f64::from(low), f64::from(high));
        (high - low) / (high / low).ln()
    };
    let speed: f64 = deployment
        .engines
        .targets
        .iter()
        .map(|t| f64::from(t.expected_speed))
        .sum();
    let output = mean(profile.output) * 0.7;
    (mean(profile.prompt) / f64::from(PREFILL_FACTOR) + output) / speed
}

fn pick_account(rng: &mut StdRng) -> usize {
    let mut remaining: f64 = rng.random();
    for (account, fraction) in ACCOUNT_FRACTIONS.iter().enumerate() {
        remaining -= fraction;
        if remaining < 0.0 {
            return account;
        }
    }
    ACCOUNT_FRACTIONS.len() - 1
}

fn log_uniform(rng: &mut StdRng, (low, high): (u32, u32)) -> u32 {
    let uniform: f64 = rng.random();
    let low = f64::from(low);
    (low * (f64::from(high) / low).powf(uniform)) as u32
}

fn engine_request(
    deployment: &TestDeployment,
    profile: &WorkProfile,
    account: usize,
    at: u64,
    rng: &mut StdRng,
) -> OfferedRequest {
    let prompt = log_uniform(rng, profile.prompt);
    let max_output = log_uniform(rng, profile.output);
    let fraction: f64 = rng.random_range(0.4..1.0);
    let shared_prefix = rng.random_range(0..profile.shared_prefixes) * 64 + account as u64;
    let unique: u64 = rng.random();
    let blocks = ((prompt / BLOCK_TOKENS) as usize).min(MAX_PREFIX_HASHES);
    let kind = u64::from(profile.prompt.0) << 40;
    let hash = |block: usize| match block < profile.shared_blocks {
        true => PrefixHash(kind + (shared_prefix << 8) + block as u64),
        false => PrefixHash(unique.wrapping_add(block as u64) | 1 << 63),
    };
    let cost = TokenCost {
        prefill: prompt,
        decode: max_output,
    };
    let prefixes = (0..blocks).map(hash).collect();
    let output = ((f64::from(max_output) * fraction) as u32).max(1);
    request(
        deployment,
        &deployment.engines,
        profile.work,
        profile.streaming,
        account,
        at,
        rng,
        |submission| {
            submission.cost = cost;
            submission.prefixes = prefixes;
        },
        output,
    )
}

fn plain_request(
    deployment: &TestDeployment,
    account: usize,
    at: u64,
    rng: &mut StdRng,
) -> OfferedRequest {
    request(
        deployment,
        &deployment.plain,
        deployment.plain_work,
        false,
        account,
        at,
        rng,
        |_| {},
        1,
    )
}

#[allow(clippy::too_many_arguments)]
fn request(
    deployment: &TestDeployment,
    pool: &TargetPool,
    work: &str,
    streaming: bool,
    account: usize,
    at: u64,
    rng: &mut StdRng,
    customize: impl FnOnce(&mut Submission),
    output: u32,
) -> OfferedRequest {
    let host = rng.random_range(0..HOST_COUNT);
    let account = account_name(deployment, account);
    let work: WorkKind = work.to_owned().try_into().expect("invalid name");
    let hosts = &deployment.publication.hosts.hosts;
    let pool_name: PoolName = pool.name.clone();
    let mut submission = Submission {
        options: bergamotswitch_core::entry::CallOptions::default(),
        account: account.clone(),
        pool: pool_name.clone(),
        kind: pool.kind,
        verdict: deployment
            .publication
            .rules
            .decide(&RequestAttributes {
                pool: &pool_name,
                account: &account,
                work: Some(&work),
                path: "/v1/chat/completions",
                domain: &hosts[host].domain,
                prompt_tokens: 1,
                streaming,
            })
            .expect("no rule matches"),
        key: None,
        holder: None,
        resubmission: false,
        fingerprint: 1,
        cost: TokenCost {
            prefill: 1,
            decode: 1,
        },
        prefixes: Vec::new(),
        parts: Vec::new(),
        deadline_in: Duration::ZERO,
        streaming,
    };
    submission.deadline_in = submission.verdict.deadline;
    customize(&mut submission);
    OfferedRequest {
        at,
        deadline: at + submission.deadline_in.as_micros() as u64,
        host,
        submission,
        output,
    }
}

fn account_name(deployment: &TestDeployment, index: usize) -> AccountName {
    deployment.publication.accounts.accounts()[index]
        .name
        .clone()
}
