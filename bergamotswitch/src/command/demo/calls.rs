//! Provides the demo's requests: one call definition for each kind of work of
//! both deployments.

pub use super::exchange::{CallOutcome, resolve_host};

/// A `DemoDeployment` is an example deployment and the calls that the demo
/// sends to it.
#[derive(Clone, Copy, Debug)]
pub struct DemoDeployment {
    /// The name of its directory under `deployments/`.
    pub name: &'static str,
    /// One call for each kind of work.
    pub calls: &'static [DemoCall],
}

/// A `DemoCall` is the definition of a request for one kind of work.
#[derive(Clone, Copy, Debug)]
pub struct DemoCall {
    /// The work kind, as named in the rules.
    pub work: &'static str,
    /// The tier that the deployment's rules assign to it.
    pub tier: u8,
    /// The name of the requested pool.
    pub pool: &'static str,
    /// The API key of the client account.
    pub key: &'static str,
    /// The path of a plain-service call; `None` for a call to an engine.
    pub service_path: Option<&'static str>,
    /// Whether the caller requests a streaming answer.
    pub streaming: bool,
    /// The length of the prompt in words.
    pub prompt_words: usize,
    /// The maximum number of output tokens.
    pub max_tokens: u32,
    /// The number of requests to send.
    pub count: usize,
    /// Additional HTTP header fields.
    pub fields: &'static [(&'static str, &'static str)],
}

const fn engine(work: &'static str, tier: u8, pool: &'static str, key: &'static str) -> DemoCall {
    DemoCall {
        work,
        tier,
        pool,
        key,
        service_path: None,
        streaming: false,
        prompt_words: 60,
        max_tokens: 32,
        count: 6,
        fields: &[],
    }
}

const fn service(
    work: &'static str,
    tier: u8,
    pool: &'static str,
    key: &'static str,
    path: &'static str,
) -> DemoCall {
    DemoCall {
        service_path: Some(path),
        ..engine(work, tier, pool, key)
    }
}

/// The calls to the Red Austral deployment.
const RED_AUSTRAL: &[DemoCall] = &[
    DemoCall {
        streaming: true,
        ..engine(
            "dawn-report",
            0,
            "bolido-llm",
            "red-austral-demo-observatorio-pampa",
        )
    },
    engine(
        "trajectory-report",
        1,
        "bolido-llm",
        "red-austral-demo-observatorio-cerro",
    ),
    engine(
        "candidate-tag",
        2,
        "bolido-llm",
        "red-austral-demo-grupo-cuyo",
    ),
    DemoCall {
        prompt_words: 4_000,
        max_tokens: 200,
        ..engine(
            "sky-log-summary",
            5,
            "bolido-llm",
            "red-austral-demo-observatorio-laguna",
        )
    },
    service(
        "crew-alert",
        0,
        "red-app",
        "red-austral-demo-observatorio-pampa",
        "alerts",
    ),
    service(
        "status",
        1,
        "red-app",
        "red-austral-demo-grupo-litoral",
        "status",
    ),
];

/// The calls to the Naapuriseina deployment.
const NAAPURISEINA: &[DemoCall] = &[
    DemoCall {
        streaming: true,
        ..engine(
            "objection-summary",
            0,
            "drafting-lm",
            "naapuriseina-demo-isannointi-pohja",
        )
    },
    engine(
        "notice-draft",
        1,
        "drafting-lm",
        "naapuriseina-demo-isannointi-saari",
    ),
    DemoCall {
        max_tokens: 400,
        ..engine(
            "clause-check",
            3,
            "drafting-lm",
            "naapuriseina-demo-rakennus-kivi",
        )
    },
    service(
        "consent-receipt",
        0,
        "case-desk",
        "naapuriseina-demo-kunta-lupa",
        "receipts",
    ),
    service(
        "neighbour-notice",
        1,
        "case-desk",
        "naapuriseina-demo-koti-palvelu",
        "notices",
    ),
    service(
        "status-lookup",
        1,
        "case-desk",
        "naapuriseina-demo-isannointi-pohja",
        "cases/17",
    ),
];

/// The deployments that the demo runs.
pub const DEPLOYMENTS: [DemoDeployment; 2] = [
    DemoDeployment {
        name: "red-austral",
        calls: RED_AUSTRAL,
    },
    DemoDeployment {
        name: "naapuriseina",
        calls: NAAPURISEINA,
    },
];

impl DemoDeployment {
    /// Get the call that is streamed, urgent (tier 0) and idempotent.
    pub fn urgent_stream(&self) -> DemoCall {
        self.find(|call| call.streaming)
    }

    /// Get the engine call that is dispatched at most once.
    pub fn dispatched_once(&self) -> DemoCall {
        self.find(|call| matches!(call.work, "trajectory-report" | "notice-draft"))
    }

    /// Get the plain-service call that is idempotent.
    pub fn repeatable_service(&self) -> DemoCall {
        self.find(|call| matches!(call.work, "status" | "status-lookup"))
    }

    /// Find the first call that satisfies a predicate. Falls back to the first
    /// call; every deployment in [`DEPLOYMENTS`] has a matching one.
    fn find(&self, predicate: impl Fn(&&DemoCall) -> bool) -> DemoCall {
        let call = self.calls.iter().find(predicate);
        *call.unwrap_or(&self.calls[0])
    }
}
