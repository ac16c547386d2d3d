//! Provides deployments, scenarios and the requests that they offer.

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

/// The entry hosts of a deployment.
pub const HOST_COUNT: usize = 8;

/// When the load begins: the hosts have found each other by then.
pub const LOAD_START: u64 = 10_000_000;

const SECOND: u64 = 1_000_000;

/// Every figure comes from this seed.
const SEED: u64 = 20_260_801;

/// A `WorkShape` is one kind of work. Lengths are drawn evenly on a
/// logarithmic scale.
#[derive(Clone, Debug)]
pub struct WorkShape {
    work: &'static str,
    prompt: (u32, u32),
    output: (u32, u32),
    /// How many blocks at the beginning several requests share.
    shared_blocks: usize,
    /// The number of such beginnings for each account.
    families: u64,
    streaming: bool,
}

/// A `TestDeployment` is one of the two published deployments, with eight
/// hosts instead of three.
pub struct TestDeployment {
    pub name: &'static str,
    pub values: Vec<PublishedValue>,
    pub publication: Publication,
    pub engines: TargetPool,
    pub plain: TargetPool,
    /// Top tier, dispatched once, short, long.
    shapes: [WorkShape; 4],
    lookups: &'static str,
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
        let shapes = [
            shape("dawn-report", (400, 1_600), (150, 400), 2, true),
            shape("trajectory-report", (1_000, 4_000), (300, 800), 4, true),
            shape("candidate-tag", (150, 300), (4, 16), 0, false),
            shape("sky-log-summary", (6_000, 24_000), (300, 900), 8, false),
        ];
        TestDeployment::new("Red Austral", &files!("red-austral"), shapes, "status")
    }

    pub fn naapuriseina() -> Self {
        let shapes = [
            shape("objection-summary", (800, 3_200), (200, 500), 2, true),
            shape("notice-draft", (500, 2_000), (400, 1_200), 4, true),
            shape("letter", (150, 300), (4, 16), 0, false),
            shape("clause-check", (4_000, 16_000), (100, 400), 12, false),
        ];
        let files = files!("naapuriseina");
        TestDeployment::new("Naapuriseina", &files, shapes, "status-lookup")
    }

    fn new(
        name: &'static str,
        files: &[(&str, &str)],
        shapes: [WorkShape; 4],
        lookups: &'static str,
    ) -> Self {
        let mut values: Vec<PublishedValue> =
            files.iter().map(|file| value(file.0, file.1)).collect();
        let mut publication = Publication::default();
        for value in &values {
            publication.apply(value).expect("a good value");
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
        publication.apply(&hosts).expect("a good host list");
        values.push(hosts);
        let pools = publication.pools.pools();
        let of_kind = |kind| {
            pools
                .iter()
                .find(|pool| pool.kind == kind)
                .expect("a pool")
                .clone()
        };
        TestDeployment {
            name,
            engines: of_kind(PoolKind::Engine),
            plain: of_kind(PoolKind::Plain),
            values,
            publication,
            shapes,
            lookups,
        }
    }
}

fn value(name: &str, body: &str) -> PublishedValue {
    PublishedValue {
        name: name.to_owned().try_into().expect("a name"),
        revision: Revision(1),
        body: body.to_owned(),
    }
}

fn shape(
    work: &'static str,
    prompt: (u32, u32),
    output: (u32, u32),
    shared_blocks: usize,
    streaming: bool,
) -> WorkShape {
    WorkShape {
        work,
        prompt,
        output,
        shared_blocks,
        families: 4,
        streaming,
    }
}

/// A `LoadPhase` is a stretch of steady arrivals.
#[derive(Clone, Debug)]
pub struct LoadPhase {
    pub seconds: u64,
    /// The parts of the engines' capacity that each shape asks for.
    pub loads: [f64; 4],
    /// More of the second shape, from the fourth account alone.
    pub flood: f64,
}

/// A `Mishap` is what goes wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mishap {
    None,
    /// This engine is ten times slower for the middle phase.
    SlowEngine(usize),
    /// The engines' owner dies in the middle of the middle phase; its
    /// connections close, or only go silent.
    OwnerDeath {
        silent: bool,
    },
}

/// A `TestScenario` is a run's load and mishap.
#[derive(Clone, Debug)]
pub struct TestScenario {
    pub name: &'static str,
    pub phases: Vec<LoadPhase>,
    pub mishap: Mishap,
}

const CALM: [f64; 4] = [0.10, 0.15, 0.05, 0.20];
const STEADY: [f64; 4] = [0.14, 0.21, 0.07, 0.28];
const BURST: [f64; 4] = [0.70, 0.30, 0.20, 0.80];
const LOGS: [f64; 4] = [0.10, 0.15, 0.05, 1.70];

impl TestScenario {
    pub fn all() -> Vec<TestScenario> {
        let plain = |name, loads| TestScenario::new(name, loads, 0.0, Mishap::None);
        vec![
            plain("steady 0.7", STEADY),
            plain("dawn burst 2x", BURST),
            TestScenario::new("slow engine", STEADY, 0.0, Mishap::SlowEngine(6)),
            TestScenario::new(
                "owner dies in burst",
                BURST,
                0.0,
                Mishap::OwnerDeath { silent: false },
            ),
            TestScenario::new(
                "owner silent in burst",
                BURST,
                0.0,
                Mishap::OwnerDeath { silent: true },
            ),
            plain("long-log flood", LOGS),
            TestScenario::new("account flood", STEADY, 1.3, Mishap::None),
        ]
    }

    fn new(name: &'static str, middle: [f64; 4], flood: f64, mishap: Mishap) -> Self {
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
            mishap,
        }
    }

    pub fn load_end(&self) -> u64 {
        let seconds: u64 = self.phases.iter().map(|phase| phase.seconds).sum();
        LOAD_START + seconds * SECOND
    }

    /// Get the middle phase's beginning and end.
    pub fn middle(&self) -> (u64, u64) {
        let from = LOAD_START + self.phases[0].seconds * SECOND;
        (from, from + self.phases[1].seconds * SECOND)
    }
}

/// An `OfferedRequest` is one request of a run.
#[derive(Clone, Debug)]
pub struct OfferedRequest {
    pub at: u64,
    pub deadline: u64,
    /// The host that the caller was sent to.
    pub host: usize,
    pub submission: Submission,
    /// The output that the engine really makes.
    pub output: u32,
}

/// The parts of the traffic that the five accounts send: a few are large.
const ACCOUNT_PARTS: [f64; 5] = [0.40, 0.30, 0.10, 0.10, 0.10];

/// Get what a scenario offers, in the order of time. Every policy gets the
/// same.
pub fn offer(deployment: &TestDeployment, scenario: &TestScenario) -> Vec<OfferedRequest> {
    let mut draw = StdRng::seed_from_u64(SEED);
    let mut offered = Vec::new();
    let mut from = LOAD_START;
    for phase in &scenario.phases {
        let until = from + phase.seconds * SECOND;
        for (index, shape) in deployment.shapes.iter().enumerate() {
            let rate = phase.loads[index] / busy_time(deployment, shape);
            arrive(&mut draw, from, until, rate, |draw, at| {
                let account = pick_account(draw);
                offered.push(engine_request(deployment, shape, account, at, draw));
            });
        }
        if phase.flood > 0.0 {
            let shape = &deployment.shapes[1];
            let rate = phase.flood / busy_time(deployment, shape);
            arrive(&mut draw, from, until, rate, |draw, at| {
                offered.push(engine_request(deployment, shape, 3, at, draw));
            });
        }
        arrive(&mut draw, from, until, 20.0, |draw, at| {
            let account = pick_account(draw);
            offered.push(lookup(deployment, account, at, draw));
        });
        from = until;
    }
    offered.sort_by_key(|request| request.at);
    offered
}

/// Call `each` at the moments of a Poisson process.
fn arrive(
    draw: &mut StdRng,
    from: u64,
    until: u64,
    per_second: f64,
    mut each: impl FnMut(&mut StdRng, u64),
) {
    let mut at = from as f64;
    loop {
        let even: f64 = draw.random();
        at += -(1.0 - even).ln() * 1e6 / per_second;
        if at >= until as f64 {
            return;
        }
        each(draw, at as u64);
    }
}

/// Get the part of a second for which an average request keeps all engines
/// of the pool busy, with full batches and nothing cached.
fn busy_time(deployment: &TestDeployment, shape: &WorkShape) -> f64 {
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
    let output = mean(shape.output) * 0.7;
    (mean(shape.prompt) / f64::from(PREFILL_FACTOR) + output) / speed
}

fn pick_account(draw: &mut StdRng) -> usize {
    let mut left: f64 = draw.random();
    for (account, part) in ACCOUNT_PARTS.iter().enumerate() {
        left -= part;
        if left < 0.0 {
            return account;
        }
    }
    ACCOUNT_PARTS.len() - 1
}

fn log_even(draw: &mut StdRng, (low, high): (u32, u32)) -> u32 {
    let even: f64 = draw.random();
    let low = f64::from(low);
    (low * (f64::from(high) / low).powf(even)) as u32
}

fn engine_request(
    deployment: &TestDeployment,
    shape: &WorkShape,
    account: usize,
    at: u64,
    draw: &mut StdRng,
) -> OfferedRequest {
    let prompt = log_even(draw, shape.prompt);
    let most = log_even(draw, shape.output);
    let part: f64 = draw.random_range(0.4..1.0);
    let family = draw.random_range(0..shape.families) * 64 + account as u64;
    let own: u64 = draw.random();
    let blocks = ((prompt / BLOCK_TOKENS) as usize).min(MAX_PREFIX_HASHES);
    let kind = u64::from(shape.prompt.0) << 40;
    let hash = |block: usize| match block < shape.shared_blocks {
        true => PrefixHash(kind + (family << 8) + block as u64),
        false => PrefixHash(own.wrapping_add(block as u64) | 1 << 63),
    };
    let cost = TokenCost {
        prefill: prompt,
        decode: most,
    };
    let prefixes = (0..blocks).map(hash).collect();
    let output = ((f64::from(most) * part) as u32).max(1);
    request(
        deployment,
        &deployment.engines,
        shape.work,
        shape.streaming,
        account,
        at,
        draw,
        |submission| {
            submission.cost = cost;
            submission.prefixes = prefixes;
        },
        output,
    )
}

fn lookup(
    deployment: &TestDeployment,
    account: usize,
    at: u64,
    draw: &mut StdRng,
) -> OfferedRequest {
    request(
        deployment,
        &deployment.plain,
        deployment.lookups,
        false,
        account,
        at,
        draw,
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
    draw: &mut StdRng,
    adorn: impl FnOnce(&mut Submission),
    output: u32,
) -> OfferedRequest {
    let host = draw.random_range(0..HOST_COUNT);
    let account = account_name(deployment, account);
    let work: WorkKind = work.to_owned().try_into().expect("a name");
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
            .expect("a rule"),
        key: None,
        holder: None,
        resubmission: false,
        fingerprint: 1,
        cost: TokenCost {
            prefill: 1,
            decode: 1,
        },
        prefixes: Vec::new(),
        deadline_in: Duration::ZERO,
        streaming,
    };
    submission.deadline_in = submission.verdict.deadline;
    adorn(&mut submission);
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
