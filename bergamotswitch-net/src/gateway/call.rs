//! Provides the way of a call through the gateway: what it asks for, whether
//! it may, its body, the loop, and the answer.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bergamotswitch_core::client_account::AccountName;
use bergamotswitch_core::entry::{CallOptions, STOPPING_RETRY_AFTER, Submission};
use bergamotswitch_core::pool::{PoolKind, PoolName};
use bergamotswitch_core::publication::Publication;
use bergamotswitch_core::refusal::{Refusal, RefusalReason};
use bergamotswitch_core::request::TokenCost;
use bergamotswitch_core::route::{CallSemantics, KeyedAccount, Route};
use bergamotswitch_core::rules::{Tier, Verdict};
use bergamotswitch_platform::call::{CallTokens, CallerCall, body_length};
use bergamotswitch_platform::{outgoing, refusal};
use bytes::Bytes;
use http::request::Parts;
use http::{Request, Response};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::timeout;
use xxhash_rust::xxh3::xxh3_64;

use super::GatewayDesk;
use super::answer_body::{AnswerBody, target_answer};
use super::lookup::ask;
use crate::answer::AnswerPart;
use crate::follower::AnswerFollower;
use crate::input::{NodeInput, OutgoingCall};
use crate::submit::{SubmitResult, submit};
use crate::target_client::routed_call::RoutedCall;

/// How much longer than on time an answer that may come from another target
/// may take to begin before its target counts as silent.
const SILENT_FACTOR: u32 = 4;

/// The part of the time left within which a silent target must be given up
/// for a second one to be of use.
const SILENT_PARTS: u32 = 3;

/// The pause of a stream after which its target counts as silent. Events come
/// every 50 ms, at slow targets every 300 ms; callers give up after 2 s.
const STREAM_GAP: Duration = Duration::from_millis(1_000);

/// When a caller should come back for which there was no room to take its
/// body in: bodies are held for fractions of a second.
const BODY_RETRY: Duration = Duration::from_millis(300);

/// When a caller should come back to a host that does not know the routes
/// yet.
const NOT_READY_RETRY: Duration = Duration::from_millis(500);

/// The client account of calls that need no key.
const PUBLIC_ACCOUNT: &str = "public";

/// A `CallStop` ends a call before it reaches the loop.
#[derive(Debug)]
enum CallStop {
    /// It is refused.
    Refused(Refusal),
    /// Its caller went away.
    Gone,
}

impl CallStop {
    fn new(reason: RefusalReason) -> Self {
        CallStop::Refused(Refusal::before_acceptance(reason))
    }

    fn later(reason: RefusalReason, span: Duration) -> Self {
        CallStop::Refused(Refusal::before_acceptance(reason).with_retry_after(span))
    }
}

/// Answer a call.
pub(super) async fn answer(
    desk: Arc<GatewayDesk>,
    request: Request<Incoming>,
) -> Response<AnswerBody> {
    match serve(&desk, request).await {
        Ok(response) => response,
        Err(CallStop::Refused(refusal)) => {
            let turned = NodeInput::EarlyRefusal(refusal.reason(), None);
            // The loop is gone only while the process ends.
            let _ = desk.node.send(turned);
            refused(&refusal)
        }
        // Nobody reads this answer.
        Err(CallStop::Gone) => refused(&Refusal::before_acceptance(RefusalReason::CallerLeft)),
    }
}

fn refused(refused: &Refusal) -> Response<AnswerBody> {
    refusal::page(refused).map(AnswerBody::whole)
}

async fn serve(
    desk: &Arc<GatewayDesk>,
    request: Request<Incoming>,
) -> Result<Response<AnswerBody>, CallStop> {
    let received_at = Instant::now();
    let (parts, body) = request.into_parts();
    let call =
        CallerCall::try_from(&parts).map_err(|_| CallStop::new(RefusalReason::BadRequest))?;
    let publication = desk.publication.borrow().clone();
    if publication.routes.config().routes.is_empty() {
        return Err(CallStop::later(RefusalReason::NotReady, NOT_READY_RETRY));
    }
    let entry = match Admission::try_new(&publication, &call) {
        Ok(entry) => entry,
        Err(reason) => return Err(doubted(desk, reason).await),
    };
    let (bytes, _room) = read_body(desk, &publication, &parts, body, entry.time_left).await?;
    let submission = entry.submission(&call);
    let is_stream = entry.route.work.is_stream();
    let call = entry.outgoing(&parts, call, bytes, received_at);
    match submit(&desk.node, submission, call).await {
        SubmitResult::Local(follower) => Ok(follow(*follower, is_stream).await),
        SubmitResult::Refused(refusal) => Ok(refused(&refusal)),
        SubmitResult::Remote(_) | SubmitResult::AnswerDropped => {
            Ok(refused(&Refusal::may_have_run(RefusalReason::Lost)))
        }
        SubmitResult::LoopStopped => Err(CallStop::later(
            RefusalReason::Stopping,
            STOPPING_RETRY_AFTER,
        )),
    }
}

/// Get the refusal of a call whose route or key is not known here. Where what
/// is known here may be old, the route or key may well be there by now: then
/// nothing is said against it.
async fn doubted(desk: &GatewayDesk, reason: RefusalReason) -> CallStop {
    match ask(desk, NodeInput::KeysTrusted).await {
        Some(true) => CallStop::new(reason),
        _ => CallStop::later(RefusalReason::KeyUnconfirmed, NOT_READY_RETRY),
    }
}

/// An `Admission` is a call with the route and account that it may use.
struct Admission<'a> {
    route: &'a Route,
    account: Option<&'a KeyedAccount>,
    pool: &'a PoolName,
    kind: PoolKind,
    time_left: Duration,
}

impl<'a> Admission<'a> {
    /// Try to find the route and account of a call.
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
        let number = xxh3_64(call.request_id.as_bytes());
        let pool = route.pool_for(number).ok_or(RefusalReason::NoTarget)?;
        let facts = routes.pool(pool);
        let kind = match facts.and_then(|facts| facts.engine) {
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

    fn submission(&self, call: &CallerCall) -> Submission {
        let work = self.route.work;
        let first_answer = Duration::from_millis(self.route.first_answer_ms);
        let tokens = call.tokens.map(quota_tokens);
        let account = self.account.map(|account| account.name.clone());
        Submission {
            account: account.unwrap_or_else(public_account),
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
                dispatch_once: !work.may_rerun(),
                idempotent: work.may_rerun(),
                preemptible: false,
                deadline: self.time_left,
            },
            key: None,
            holder: None,
            resubmission: false,
            fingerprint: 0,
            cost: cost(call.tokens),
            prefixes: Vec::new(),
            deadline_in: self.time_left,
            streaming: work.is_stream(),
            options: CallOptions {
                max_runs: Some(self.route.max_runs),
                // Beyond, its answer would be late, and every place in the
                // queue that it holds makes the next one late as well.
                first_token_limit: Some(first_answer),
                resumable: work == CallSemantics::ResumableStream,
                ends_at_deadline: true,
                ends_with_caller: work != CallSemantics::NonIdempotent,
                max_output_tokens: call.tokens.map(|tokens| tokens.most_output),
                quota_units: self
                    .account
                    .map_or(0, |account| account.quota.units(tokens)),
                key_authenticated: self.account.is_some(),
            },
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
        let work = self.route.work;
        let first_answer = Duration::from_millis(self.route.first_answer_ms);
        let silent_after = (first_answer * SILENT_FACTOR).min(self.time_left / SILENT_PARTS);
        let may_rerun = work.may_rerun() && self.route.max_runs > 1;
        OutgoingCall {
            method: parts.method.clone(),
            path: path.map_or("/", |path| path.as_str()).to_owned(),
            content_type: String::new(),
            body,
            routed: Some(RoutedCall {
                request_id: call.request_id,
                fields: Arc::new(outgoing::passed_fields(&parts.headers)),
                account: self.account.map(|account| account.name.clone()),
                deadline: received_at + self.time_left,
                is_stream: work.is_stream(),
                start_timeout: may_rerun.then_some(silent_after),
                gap_timeout: may_rerun.then_some(STREAM_GAP),
            }),
        }
    }
}

fn public_account() -> AccountName {
    AccountName::try_from(PUBLIC_ACCOUNT).expect("the constant is a name")
}

fn quota_tokens(tokens: CallTokens) -> u64 {
    u64::from(tokens.prompt) + u64::from(tokens.most_output)
}

/// Get what a call costs a target, as far as it says.
fn cost(tokens: Option<CallTokens>) -> TokenCost {
    match tokens {
        Some(tokens) => TokenCost {
            prefill: tokens.prompt,
            decode: tokens.likely_output.unwrap_or(tokens.most_output),
        },
        None => TokenCost {
            prefill: 1,
            decode: 1,
        },
    }
}

/// Take a call's body in, within the callers' limits and the host's memory.
async fn read_body(
    desk: &GatewayDesk,
    publication: &Publication,
    parts: &Parts,
    body: Incoming,
    time_left: Duration,
) -> Result<(Bytes, Option<OwnedSemaphorePermit>), CallStop> {
    let most = publication.routes.config().limits.max_body_bytes;
    let length = body_length(&parts.headers);
    if length.is_some_and(|length| length > most) {
        return Err(CallStop::new(RefusalReason::TooLarge));
    }
    let room = match length {
        None | Some(0) => None,
        Some(length) => Some(take_room(desk, length)?),
    };
    let most = usize::try_from(most).unwrap_or(usize::MAX);
    let reading = timeout(time_left, Limited::new(body, most).collect());
    let Ok(read) = reading.await else {
        return Err(CallStop::new(RefusalReason::DeadlinePassed));
    };
    match read {
        Ok(collected) => Ok((collected.to_bytes(), room)),
        Err(error) if error.is::<http_body_util::LengthLimitError>() => {
            Err(CallStop::new(RefusalReason::TooLarge))
        }
        Err(_) => Err(CallStop::Gone),
    }
}

/// Take room for a body. Without the bound, a burst of long bodies would take
/// a small host over its memory, and its process would be killed with every
/// request in it.
fn take_room(desk: &GatewayDesk, length: u64) -> Result<OwnedSemaphorePermit, CallStop> {
    let room = Arc::clone(&desk.body_room);
    let length = u32::try_from(length).unwrap_or(u32::MAX);
    let taken = room.try_acquire_many_owned(length);
    taken.map_err(|_| CallStop::later(RefusalReason::Overloaded, BODY_RETRY))
}

/// Follow an accepted call's answer.
///
/// An answer that is over may begin with the error of a target that another one
/// was to follow, and end with a refusal. Passed on as it comes, its body would
/// break off at once, and the caller's connection close before the error's head has
/// left: the caller has no answer at all. Only a stream's own head begins one.
async fn follow(mut follower: AnswerFollower, is_stream: bool) -> Response<AnswerBody> {
    if !is_stream {
        return whole_answer(follower.collect_parts().await);
    }
    match follower.wait_first_part(has_event).await {
        AnswerPart::Head {
            status,
            content_type,
            fields,
        } if is_success(status) => {
            target_answer(status, &content_type, fields, AnswerBody::follow(follower))
        }
        _ => whole_answer(follower.collect_parts().await),
    }
}

/// Get whether an event of a stream came. An error's body is none: another
/// target may still be tried.
fn has_event(parts: &[AnswerPart]) -> bool {
    let mut parts = parts.iter();
    let begun = match parts.next() {
        Some(AnswerPart::Head { status, .. }) => is_success(*status),
        _ => false,
    };
    begun && parts.any(|part| matches!(part, AnswerPart::Data(_)))
}

fn is_success(status: u16) -> bool {
    (200..300).contains(&status)
}

fn whole_answer(parts: Vec<AnswerPart>) -> Response<AnswerBody> {
    let mut head = None;
    let mut pieces = Vec::new();
    for part in parts {
        match part {
            AnswerPart::Head {
                status,
                content_type,
                fields,
            } => head = Some((status, content_type, fields)),
            AnswerPart::Data(bytes) => pieces.push(bytes),
            AnswerPart::End => {}
            AnswerPart::Refused(refusal) => return refused(&refusal),
            AnswerPart::Forward(_) => {
                return refused(&Refusal::may_have_run(RefusalReason::Lost));
            }
        }
    }
    match head {
        Some((status, content_type, fields)) => {
            let body = AnswerBody::whole(joined(pieces));
            target_answer(status, &content_type, fields, body)
        }
        None => refused(&Refusal::may_have_run(RefusalReason::TargetFailed)),
    }
}

fn joined(mut pieces: Vec<Bytes>) -> Bytes {
    match pieces.len() {
        1 => pieces.remove(0),
        _ => pieces.concat().into(),
    }
}
