//! Provides the handling of a call to the gateway: routing, authentication,
//! reading of the body, submission to the event loop, and the answer.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bergamotswitch_core::client_account::AccountName;
use bergamotswitch_core::entry::{CallOptions, STOPPING_RETRY_AFTER, Submission};
use bergamotswitch_core::pool::{PoolKind, PoolName};
use bergamotswitch_core::publication::Publication;
use bergamotswitch_core::refusal::{Refusal, RefusalReason};
use bergamotswitch_core::request::{PrefixHash, TokenCost};
use bergamotswitch_core::route::{CallSemantics, KeyedAccount, Route};
use bergamotswitch_core::rules::{Tier, Verdict};
use bergamotswitch_core::stream_table::{StreamId, StreamStart};
use bergamotswitch_platform::call::{CallStart, CallTokens, CallerCall, body_length};
use bergamotswitch_platform::{outgoing, refusal};
use bytes::Bytes;
use http::request::Parts;
use http::{Request, Response, Version};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::timeout;
use xxhash_rust::xxh3::xxh3_64;

use super::GatewayContext;
use super::answer_body::{AnswerBody, target_answer};
use super::lookup::query_loop;
use crate::answer::AnswerPart;
use crate::fingerprint::fingerprint;
use crate::follower::AnswerFollower;
use crate::input::{NodeInput, OutgoingCall};
use crate::submit::{SubmitResult, submit};
use crate::target_client::routed_call::RoutedCall;

/// The start timeout of an attempt that may be retried, as a multiple of the
/// route's goal for the first answer. An attempt without an answer until then
/// is replaced by another one if possible.
const START_TIMEOUT_FACTOR: u32 = 4;

/// The part of the remaining time to which the start timeout is limited (one in
/// this many), so that enough is left for a retry.
const START_TIMEOUT_DIVISOR: u32 = 3;

/// The longest gap between events of a stream that may be retried; after it the
/// attempt is replaced by another one if possible. It exceeds the gaps of slow targets (300 ms) and is
/// below the callers' own timeout (2 s).
const STREAM_GAP_TIMEOUT: Duration = Duration::from_millis(1_000);

/// The retry delay of callers refused because there was no memory for their
/// body.
const BODY_RETRY_AFTER: Duration = Duration::from_millis(300);

/// The retry delay of callers refused by a host that has not loaded the routes.
const NOT_READY_RETRY_AFTER: Duration = Duration::from_millis(500);

/// The client account of calls without an authenticated key.
const PUBLIC_ACCOUNT: &str = "public";

/// A `CallFailure` ends a call before it is submitted to the event loop.
#[derive(Debug)]
enum CallFailure {
    /// The call is refused.
    Refused(Refusal),
    /// The caller closed its connection.
    CallerDisconnected,
}

impl CallFailure {
    fn new(reason: RefusalReason) -> Self {
        CallFailure::Refused(Refusal::before_acceptance(reason))
    }

    fn retry_later(reason: RefusalReason, span: Duration) -> Self {
        CallFailure::Refused(Refusal::before_acceptance(reason).with_retry_after(span))
    }
}

/// Handle a call and get the answer to it.
pub(super) async fn answer(
    context: Arc<GatewayContext>,
    request: Request<Incoming>,
) -> Response<AnswerBody> {
    match serve(&context, request).await {
        Ok(response) => response,
        Err(CallFailure::Refused(refusal)) => {
            let rejection = NodeInput::EarlyRefusal(refusal.reason(), None);
            // Sending fails only if the event loop has ended.
            let _ = context.node.send(rejection);
            refusal_response(&refusal)
        }
        // The connection is closed, so this answer is not delivered.
        Err(CallFailure::CallerDisconnected) => {
            refusal_response(&Refusal::before_acceptance(RefusalReason::CallerLeft))
        }
    }
}

fn refusal_response(refusal: &Refusal) -> Response<AnswerBody> {
    refusal::response(refusal).map(AnswerBody::buffered)
}

async fn serve(
    context: &Arc<GatewayContext>,
    request: Request<Incoming>,
) -> Result<Response<AnswerBody>, CallFailure> {
    let received_at = Instant::now();
    let (parts, body) = request.into_parts();
    let call =
        CallerCall::try_from(&parts).map_err(|_| CallFailure::new(RefusalReason::BadRequest))?;
    let publication = context.publication.borrow().clone();
    if publication.routes.config().routes.is_empty() {
        return Err(CallFailure::retry_later(
            RefusalReason::NotReady,
            NOT_READY_RETRY_AFTER,
        ));
    }
    let admission = match Admission::try_new(&publication, &call) {
        Ok(admission) => admission,
        Err(reason) => return Err(unknown_route_or_key(context, reason).await),
    };
    let (bytes, _permit) =
        read_body(context, &publication, &parts, body, admission.time_left).await?;
    let fingerprint = call_fingerprint(&parts, &call, &bytes);
    let submission = admission.submission(&call, fingerprint);
    // A body without chunks ends with its connection, so a stream that is cut while it is
    // passed on would look whole.
    let passes_events = admission.route.work.is_stream() && parts.version > Version::HTTP_10;
    let call = admission.outgoing(&parts, call, bytes, received_at);
    match submit(&context.node, submission, call).await {
        SubmitResult::Local(follower) => Ok(follow(*follower, passes_events).await),
        SubmitResult::Refused(refusal) => Ok(refusal_response(&refusal)),
        SubmitResult::Remote(_) | SubmitResult::AnswerDropped => Ok(refusal_response(
            &Refusal::may_have_run(RefusalReason::Lost),
        )),
        SubmitResult::LoopStopped => Err(CallFailure::retry_later(
            RefusalReason::Stopping,
            STOPPING_RETRY_AFTER,
        )),
    }
}

/// Get the refusal of a call whose route or key is unknown. If this host's
/// configuration may be stale, the route or key may exist, so the refusal
/// requests a retry.
async fn unknown_route_or_key(context: &GatewayContext, reason: RefusalReason) -> CallFailure {
    match query_loop(context, NodeInput::KeysTrusted).await {
        Some(true) => CallFailure::new(reason),
        _ => CallFailure::retry_later(RefusalReason::KeyUnconfirmed, NOT_READY_RETRY_AFTER),
    }
}

/// An `Admission` is the route, account and pool that a call uses.
struct Admission<'a> {
    route: &'a Route,
    account: Option<&'a KeyedAccount>,
    pool: &'a PoolName,
    kind: PoolKind,
    time_left: Duration,
}

impl<'a> Admission<'a> {
    /// Try to find the route, account and pool of a call.
    fn try_new(publication: &'a Publication, call: &CallerCall) -> Result<Self, RefusalReason> {
        let routes = &publication.routes;
        let route = routes.route(&call.host, &call.path);
        let route = route.ok_or(RefusalReason::NoRoute)?;
        let account = match route.public || !routes.has_accounts() {
            true => None,
            false => {
                let key = call.key.as_deref();
                let account = key.and_then(|key| routes.account_of_key(key));
                Some(account.ok_or(RefusalReason::UnknownAccount)?)
            }
        };
        // A stream continues in the pool that began it.
        let origin = match &call.start {
            CallStart::Resumed(Some(origin)) => origin,
            CallStart::New | CallStart::Resumed(None) => &call.request_id,
        };
        let hash = xxh3_64(origin.as_bytes());
        let pool = route.pool_for(hash).ok_or(RefusalReason::NoTarget)?;
        let spec = routes.pool(pool);
        let kind = match spec.and_then(|spec| spec.engine) {
            Some(_) => PoolKind::Engine,
            None => PoolKind::Plain,
        };
        let timeout = Duration::from_millis(route.timeout_ms);
        Ok(Admission {
            route,
            account,
            pool,
            kind,
            time_left: call.deadline_in.map_or(timeout, |left| left.min(timeout)),
        })
    }

    fn submission(&self, call: &CallerCall, fingerprint: u128) -> Submission {
        let semantics = self.route.work;
        let first_answer = Duration::from_millis(self.route.first_answer_ms);
        let tokens = call.tokens.map(quota_tokens);
        let account = self.account.map(|account| account.name.clone());
        let account = account.unwrap_or_else(public_account);
        let resumable = semantics == CallSemantics::ResumableStream;
        Submission {
            pool: self.pool.clone(),
            kind: self.kind,
            verdict: Verdict {
                rule: self.route.name.clone(),
                tier: Tier::of_call(
                    self.account.and_then(|account| account.tier),
                    self.route.tier,
                ),
                share: 1,
                domains: Vec::new(),
                dispatch_once: !semantics.may_rerun(),
                idempotent: semantics.may_rerun(),
                preemptible: false,
                deadline: self.time_left,
            },
            key: None,
            holder: None,
            resubmission: false,
            fingerprint,
            cost: cost(call.tokens),
            prefixes: stream_part(call),
            parts: call.parts.clone(),
            deadline_in: self.time_left,
            streaming: semantics.is_stream(),
            options: CallOptions {
                max_runs: Some(self.route.max_runs),
                // A request queued for longer than this would be answered late,
                // and would delay those behind it.
                first_token_limit: Some(first_answer),
                resumable,
                stream: resumable.then(|| stream_start(&account, call)),
                ends_at_deadline: true,
                ends_with_caller: semantics != CallSemantics::NonIdempotent,
                max_output_tokens: call.tokens.map(|tokens| tokens.max_output),
                quota_units: self
                    .account
                    .map_or(0, |account| account.quota.units(tokens)),
                key_authenticated: self.account.is_some(),
            },
            account,
        }
    }

    fn outgoing(
        &self,
        parts: &Parts,
        call: CallerCall,
        body: Bytes,
        received_at: Instant,
    ) -> OutgoingCall {
        let path = parts.uri.path_and_query();
        let semantics = self.route.work;
        let first_answer = Duration::from_millis(self.route.first_answer_ms);
        let start_timeout =
            (first_answer * START_TIMEOUT_FACTOR).min(self.time_left / START_TIMEOUT_DIVISOR);
        let may_rerun = semantics.may_rerun() && self.route.max_runs > 1;
        OutgoingCall {
            method: parts.method.clone(),
            path: path.map_or("/", |path| path.as_str()).to_owned(),
            content_type: String::new(),
            body,
            routed: Some(RoutedCall {
                request_id: call.request_id,
                fields: Arc::new(outgoing::passed_fields(&parts.headers)),
                account: self.account.map(|account| account.outer_name().to_owned()),
                deadline: received_at + self.time_left,
                is_stream: semantics.is_stream(),
                last_event: call
                    .last_event
                    .filter(|_| semantics == CallSemantics::ResumableStream),
                start_timeout: may_rerun.then_some(start_timeout),
                gap_timeout: may_rerun.then_some(STREAM_GAP_TIMEOUT),
            }),
        }
    }
}

/// Get the hash of the call's method, host name, path, query and body.
fn call_fingerprint(parts: &Parts, call: &CallerCall, body: &Bytes) -> u128 {
    let resource = match parts.uri.query() {
        Some(query) => format!("{}{}?{query}", call.host, call.path),
        None => format!("{}{}", call.host, call.path),
    };
    fingerprint(&parts.method, &resource, body)
}

/// Get the part of the prompt by which a resumed stream is found in the targets' caches.
fn stream_part(call: &CallerCall) -> Vec<PrefixHash> {
    let part = match call.start {
        CallStart::Resumed(_) => call.own_part,
        CallStart::New => None,
    };
    part.map(PrefixHash::of_part).into_iter().collect()
}

fn stream_start(account: &AccountName, call: &CallerCall) -> StreamStart {
    match &call.start {
        CallStart::New => StreamStart::New(StreamId::new(account, &call.request_id)),
        CallStart::Resumed(origin) => {
            let origin = origin.as_ref();
            StreamStart::Resumed(origin.map(|origin| StreamId::new(account, origin)))
        }
    }
}

fn public_account() -> AccountName {
    AccountName::try_from(PUBLIC_ACCOUNT).expect("the constant is a valid account name")
}

fn quota_tokens(tokens: CallTokens) -> u64 {
    u64::from(tokens.prompt) + u64::from(tokens.max_output)
}

/// Get the estimated cost of a call, from the token counts that it declares.
fn cost(tokens: Option<CallTokens>) -> TokenCost {
    match tokens {
        Some(tokens) => TokenCost {
            prefill: tokens.prompt,
            decode: tokens.expected_output.unwrap_or(tokens.max_output),
        },
        None => TokenCost {
            prefill: 1,
            decode: 1,
        },
    }
}

/// Read the body of a call, within the size limit and the memory for bodies.
async fn read_body(
    context: &GatewayContext,
    publication: &Publication,
    parts: &Parts,
    body: Incoming,
    time_left: Duration,
) -> Result<(Bytes, Option<OwnedSemaphorePermit>), CallFailure> {
    let max_bytes = publication.routes.config().limits.max_body_bytes;
    let length = body_length(&parts.headers);
    if length.is_some_and(|length| length > max_bytes) {
        return Err(CallFailure::new(RefusalReason::TooLarge));
    }
    let permit = match length {
        None | Some(0) => None,
        Some(length) => Some(reserve_body_memory(context, length)?),
    };
    let max_bytes = usize::try_from(max_bytes).unwrap_or(usize::MAX);
    let reading = timeout(time_left, collect_body(context, body, max_bytes, permit));
    let read = reading.await;
    read.unwrap_or_else(|_| Err(CallFailure::new(RefusalReason::DeadlinePassed)))
}

/// Collect a body up to a size limit. Without a declared length, memory is reserved as the
/// body arrives.
async fn collect_body(
    context: &GatewayContext,
    mut body: Incoming,
    max_bytes: usize,
    mut permit: Option<OwnedSemaphorePermit>,
) -> Result<(Bytes, Option<OwnedSemaphorePermit>), CallFailure> {
    let is_reserved = permit.is_some();
    let mut parts = Vec::new();
    let mut count = 0;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| CallFailure::CallerDisconnected)?;
        let Ok(bytes) = frame.into_data() else {
            continue;
        };
        count += bytes.len();
        if count > max_bytes {
            return Err(CallFailure::new(RefusalReason::TooLarge));
        }
        if !is_reserved {
            let added = reserve_body_memory(context, bytes.len() as u64)?;
            match &mut permit {
                Some(permit) => permit.merge(added),
                None => permit = Some(added),
            }
        }
        parts.push(bytes);
    }
    Ok((concat(parts), permit))
}

/// Reserve memory for a body. Without this limit, a burst of large bodies could
/// exhaust the host's memory, and its process would be killed with all requests
/// that it holds.
fn reserve_body_memory(
    context: &GatewayContext,
    length: u64,
) -> Result<OwnedSemaphorePermit, CallFailure> {
    let body_memory = Arc::clone(&context.body_memory);
    let length = u32::try_from(length).unwrap_or(u32::MAX);
    let permit = body_memory.try_acquire_many_owned(length);
    permit.map_err(|_| CallFailure::retry_later(RefusalReason::Overloaded, BODY_RETRY_AFTER))
}

/// Get the response to an accepted call.
///
/// Only a stream whose target answered with success is passed on as it arrives.
/// Other answers are buffered: one that consists of a target's error, awaiting
/// a retry, and then a refusal would otherwise begin with the error's head and
/// close the connection before that head was written, so that the caller
/// received no answer.
async fn follow(mut follower: AnswerFollower, passes_events: bool) -> Response<AnswerBody> {
    if !passes_events {
        return buffered_answer(follower.collect_parts().await);
    }
    match follower.wait_first_part(has_event).await {
        AnswerPart::Head {
            status,
            content_type,
            fields,
        } if is_success(status) => {
            target_answer(status, &content_type, fields, AnswerBody::follow(follower))
        }
        _ => buffered_answer(follower.collect_parts().await),
    }
}

/// Get whether a successful stream has its first data. Data of an error
/// response does not count, because the call may be retried at another target.
fn has_event(parts: &[AnswerPart]) -> bool {
    let mut parts = parts.iter();
    let has_success_head = match parts.next() {
        Some(AnswerPart::Head { status, .. }) => is_success(*status),
        _ => false,
    };
    has_success_head && parts.any(|part| matches!(part, AnswerPart::Data(_)))
}

fn is_success(status: u16) -> bool {
    (200..300).contains(&status)
}

fn buffered_answer(parts: Vec<AnswerPart>) -> Response<AnswerBody> {
    let mut head = None;
    let mut chunks = Vec::new();
    for part in parts {
        match part {
            AnswerPart::Head {
                status,
                content_type,
                fields,
            } => head = Some((status, content_type, fields)),
            AnswerPart::Data(bytes) => chunks.push(bytes),
            AnswerPart::End => {}
            AnswerPart::Refused(refusal) => return refusal_response(&refusal),
            AnswerPart::Forward(_) => {
                return refusal_response(&Refusal::may_have_run(RefusalReason::Lost));
            }
        }
    }
    match head {
        Some((status, content_type, fields)) => {
            let body = AnswerBody::buffered(concat(chunks));
            target_answer(status, &content_type, fields, body)
        }
        None => refusal_response(&Refusal::may_have_run(RefusalReason::TargetFailed)),
    }
}

fn concat(mut chunks: Vec<Bytes>) -> Bytes {
    match chunks.len() {
        1 => chunks.remove(0),
        _ => chunks.concat().into(),
    }
}
