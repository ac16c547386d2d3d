//! Provides the demo's calls: one for each kind of work of both deployments.

pub use super::exchange::{CallOutcome, resolve_host};

/// A `DemoDeployment` is one deployment and its calls.
#[derive(Clone, Copy, Debug)]
pub struct DemoDeployment {
    /// The name of its directory under `deployments/`.
    pub name: &'static str,
    /// The calls.
    pub calls: &'static [DemoCall],
}

/// A `DemoCall` is one kind of work.
#[derive(Clone, Copy, Debug)]
pub struct DemoCall {
    /// The work kind, as the rules name it.
    pub work: &'static str,
    /// The tier that the deployment's rules give it.
    pub tier: u8,
    /// The pool.
    pub pool: &'static str,
    /// The demo key of the client account.
    pub key: &'static str,
    /// The path of a plain-service call; an engine's call where absent.
    pub service_path: Option<&'static str>,
    /// Whether the caller wants a stream.
    pub streaming: bool,
    /// Words of prompt.
    pub prompt_words: usize,
    /// Output tokens asked for.
    pub max_tokens: u32,
    /// How many are sent.
    pub count: usize,
    /// Further fields, as the caller would set them.
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

/// Red Austral's calls.
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

/// Naapuriseina's calls.
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

/// Both deployments.
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
    /// Get the urgent work that is answered as a stream and may run twice.
    pub fn urgent_stream(&self) -> DemoCall {
        self.find(|call| call.streaming)
    }

    /// Get the engine work that is dispatched at most once.
    pub fn dispatched_once(&self) -> DemoCall {
        self.find(|call| matches!(call.work, "trajectory-report" | "notice-draft"))
    }

    /// Get the plain-service call that may be repeated.
    pub fn repeatable_service(&self) -> DemoCall {
        self.find(|call| matches!(call.work, "status" | "status-lookup"))
    }

    /// Each deployment of [`DEPLOYMENTS`] has a call of each kind; the first
    /// call stands in where a further deployment has none.
    fn find(&self, predicate: impl Fn(&&DemoCall) -> bool) -> DemoCall {
        let call = self.calls.iter().find(predicate);
        *call.unwrap_or(&self.calls[0])
    }
}
