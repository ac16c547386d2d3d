//! Provides the stand-in for a model engine, with a simulated batch and prefix
//! cache.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use serde_json::{Value, json};
use tokio::task::JoinHandle;

use crate::batch::EngineRun;
use crate::deployment::TargetContract;
use crate::engine_core::EngineCore;
use crate::engine_stream::{cache_event_response, complete_response, stream_response};
use crate::ledger::RunOutcome;
use crate::listener::{ListenerControl, ListenerHandle, listen};
use crate::prompt::PromptShape;
use crate::response::{
    REQUEST_ID, ResponseBody, error_response, json_response, query_number, read_body, read_json,
    refusal_response, request_id, set_header,
};
use crate::target_control::TargetControl;

/// An `EngineOptions` is the configuration of an engine stand-in.
#[derive(Clone, Debug)]
pub struct EngineOptions {
    /// The capabilities of the engine.
    pub contract: TargetContract,
    /// The duration of one step of the batch.
    pub step: Duration,
    /// The maximum number of requests in the batch.
    pub max_batch: usize,
    /// The prompt tokens processed per second, over all requests.
    pub prefill_speed: u32,
    /// The maximum number of tokens, prompt and output, in the batch.
    pub token_limit: u64,
    /// The capacity of the prefix cache, in blocks of 1024 bytes.
    pub cache_blocks: usize,
    /// The seed of the stream ids and of the dropped cache events.
    pub seed: u64,
}

impl Default for EngineOptions {
    fn default() -> Self {
        EngineOptions {
            contract: TargetContract {
                checks_fencing: true,
                resumes: true,
                cancels: true,
                refusal_means_not_run: true,
                moves_cache: true,
            },
            step: Duration::from_millis(3),
            max_batch: 8,
            prefill_speed: 20_000,
            token_limit: 65_536,
            cache_blocks: 256,
            seed: 1,
        }
    }
}

impl EngineOptions {
    /// Set the capabilities of the engine.
    pub fn with_contract(mut self, contract: TargetContract) -> Self {
        self.contract = contract;
        self
    }

    /// Set the duration of one step of the batch.
    pub fn with_step(mut self, step: Duration) -> Self {
        self.step = step;
        self
    }

    /// Set the maximum number of requests in the batch.
    pub fn with_max_batch(mut self, max_batch: usize) -> Self {
        self.max_batch = max_batch;
        self
    }
}

/// An `EngineStandin` is a running engine stand-in; it stops when dropped.
#[derive(Debug)]
pub struct EngineStandin {
    core: Arc<EngineCore>,
    listener: ListenerHandle,
    step_task: JoinHandle<()>,
}

impl EngineStandin {
    /// Try to start an engine stand-in on an address.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub async fn try_start(address: SocketAddr, options: EngineOptions) -> io::Result<Self> {
        let control = ListenerControl::new();
        let core = EngineCore::new(options, TargetControl::new(Arc::clone(&control)));
        let shared = Arc::clone(&core);
        let listener = listen(address, control, move |request| {
            handle(Arc::clone(&shared), request)
        })
        .await?;
        let step_task = tokio::spawn(Arc::clone(&core).run());
        Ok(EngineStandin {
            core,
            listener,
            step_task,
        })
    }

    /// Get the bound address.
    pub fn address(&self) -> SocketAddr {
        self.listener.address
    }

    /// Get the fault switches and the ledger.
    pub fn control(&self) -> &TargetControl {
        &self.core.control
    }

    /// Simulate a process restart: drop all streams and cached prefixes, close
    /// all connections, and record running requests as
    /// [`RunOutcome::Broken`]. The ledger is kept.
    pub fn restart(&self) {
        self.core.restart();
    }
}

impl Drop for EngineStandin {
    fn drop(&mut self) {
        self.step_task.abort();
    }
}

async fn handle(core: Arc<EngineCore>, request: Request<Incoming>) -> Response<ResponseBody> {
    let path = request.uri().path().to_owned();
    let parts: Vec<&str> = path.split('/').skip(1).collect();
    match (request.method(), parts.as_slice()) {
        (&Method::POST, ["v1", "chat", "completions"] | ["v1", "completions"]) => {
            submit(&core, request).await
        }
        (&Method::GET, ["v1", "streams", id]) => resume(&core, id, &request),
        (&Method::GET, ["v1", "streams", id, "status"]) => status_response(core.stream(id)),
        (&Method::GET, ["v1", "requests", id, "status"]) => status_response(core.request(id)),
        (&Method::DELETE, ["v1", "streams", id]) => cancel(&core, id),
        (&Method::GET, ["v1", "load"]) => load_response(&core),
        (&Method::GET, ["v1", "cache-events"]) => cache_event_response(&core),
        (&Method::POST, ["v1", "kv", "export"]) => export_cache(&core, request).await,
        (&Method::POST, ["v1", "kv", "import"]) => import_cache(&core, request).await,
        _ => error_response(StatusCode::NOT_FOUND, "unknown path"),
    }
}

async fn submit(core: &Arc<EngineCore>, request: Request<Incoming>) -> Response<ResponseBody> {
    let request_id = request_id(request.headers());
    let Some(body) = read_body(request).await else {
        return error_response(StatusCode::BAD_REQUEST, "the body is too long or broke off");
    };
    let shape = match PromptShape::try_from(body.as_ref()) {
        Ok(shape) => shape,
        Err(error) => return error_response(StatusCode::BAD_REQUEST, &error.to_string()),
    };
    let switches = core.control.switches();
    if let Some(status) = switches.refuse {
        if !core.options.contract.refusal_means_not_run {
            let run = core.submit(request_id, shape);
            core.stop(&run, RunOutcome::Broken);
        }
        return refusal_response(status);
    }
    let streaming = shape.stream;
    let run = core.submit(request_id, shape);
    if switches.error {
        core.stop(&run, RunOutcome::Broken);
        return error_response(StatusCode::INTERNAL_SERVER_ERROR, "the run broke");
    }
    if streaming {
        return stream_response(core, &run, 0);
    }
    let Some((answer_id, answer)) = complete_response(core, &run).await else {
        return error_response(StatusCode::INTERNAL_SERVER_ERROR, "the run ended early");
    };
    let mut response = json_response(StatusCode::OK, &answer);
    set_header(&mut response, "x-stream-id", &run.stream_id);
    set_header(&mut response, REQUEST_ID, &answer_id);
    response
}

fn resume(core: &Arc<EngineCore>, id: &str, request: &Request<Incoming>) -> Response<ResponseBody> {
    let offset = query_number(request, "offset").unwrap_or(0);
    match (core.options.contract.resumes, core.stream(id)) {
        (false, _) => not_implemented(),
        (true, None) => not_found(),
        (true, Some(run)) => stream_response(core, &run, offset.min(u32::MAX.into()) as u32),
    }
}

fn not_found() -> Response<ResponseBody> {
    error_response(StatusCode::NOT_FOUND, "unknown stream or request")
}

fn not_implemented() -> Response<ResponseBody> {
    error_response(StatusCode::NOT_IMPLEMENTED, "not in this engine's contract")
}

fn status_response(run: Option<Arc<EngineRun>>) -> Response<ResponseBody> {
    let Some(run) = run else {
        return not_found();
    };
    let progress = run.progress();
    let done = progress.outcome == RunOutcome::Finished;
    // The `[DONE]` terminator counts as an event.
    let offset = progress.emitted + u32::from(done);
    let status = json!({
        "stream_id": run.stream_id,
        "offset": offset,
        "done": done,
        "running": run.is_live(),
    });
    json_response(StatusCode::OK, &status)
}

fn cancel(core: &EngineCore, stream_id: &str) -> Response<ResponseBody> {
    match (core.options.contract.cancels, core.stream(stream_id)) {
        (false, _) => not_implemented(),
        (true, None) => not_found(),
        (true, Some(run)) => {
            core.stop(&run, RunOutcome::Cancelled);
            status_response(Some(run))
        }
    }
}

fn load_response(core: &EngineCore) -> Response<ResponseBody> {
    let (load, age_ms) = core.load();
    let report = json!({
        "running": load.running,
        "waiting": load.waiting,
        "outstanding_tokens": load.outstanding_tokens,
        "age_ms": age_ms,
    });
    json_response(StatusCode::OK, &report)
}

async fn export_cache(core: &EngineCore, request: Request<Incoming>) -> Response<ResponseBody> {
    let prefix = parse_prefix(&read_json(request).await);
    match (core.options.contract.moves_cache, prefix) {
        (false, _) => not_implemented(),
        (true, Some(prefix)) if core.holds_prefix(prefix) => prefix_response(prefix),
        (true, _) => error_response(StatusCode::NOT_FOUND, "unknown prefix"),
    }
}

async fn import_cache(core: &EngineCore, request: Request<Incoming>) -> Response<ResponseBody> {
    let prefix = parse_prefix(&read_json(request).await);
    match (core.options.contract.moves_cache, prefix) {
        (false, _) => not_implemented(),
        (true, Some(prefix)) => {
            core.import_prefix(prefix);
            prefix_response(prefix)
        }
        (true, None) => error_response(StatusCode::BAD_REQUEST, "an import needs a prefix"),
    }
}

fn prefix_response(prefix: u64) -> Response<ResponseBody> {
    let held = json!({"prefix": format!("{prefix:016x}"), "held": true});
    json_response(StatusCode::OK, &held)
}

fn parse_prefix(value: &Value) -> Option<u64> {
    u64::from_str_radix(value["prefix"].as_str()?, 16).ok()
}
