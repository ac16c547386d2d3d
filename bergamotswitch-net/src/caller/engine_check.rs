//! Provides the checks of requests to engines.

use bergamotswitch_core::entry::{CallOptions, Submission};
use bergamotswitch_core::error::Findings;
use bergamotswitch_core::pool::{PoolKind, PoolName};
use bergamotswitch_core::publication::Publication;
use bergamotswitch_core::refusal::RefusalReason;
use bergamotswitch_core::rules::RequestAttributes;
use bytes::Bytes;
use http::Method;
use salvo::Request;
use xxhash_rust::xxh3::Xxh3;

use super::body::read_body;
use super::desk::CallerDesk;
use super::engine_body::{CompletionForm, EngineBody};
use super::fields::{CallerDeadline, CallerFields};
use super::forward::OriginalCall;
use super::reception::CheckedCall;
use super::refusal_page::{JSON_TYPE, RefusalPage};
use crate::input::OutgoingCall;

/// An `AnswerWish` is in what form the caller wants the answer.
#[derive(Clone, Copy, Debug)]
pub(super) struct AnswerWish {
    /// As a stream.
    pub(super) stream: bool,
    /// With the usage at the stream's end.
    pub(super) usage: bool,
}

/// Try to get a checked call out of a request to an engine.
///
/// # Errors
///
/// Returns the refusal of a request that no rule lets run, or that has
/// faults: all of them, with their places.
pub(super) async fn check_engine_call(
    desk: &CallerDesk,
    form: CompletionForm,
    req: &mut Request,
) -> Result<(CheckedCall, AnswerWish), RefusalPage> {
    let publication = desk.in_force();
    let account = desk.authenticate(&publication, req.headers())?;
    let text = read_body(req, publication.limits.max_body_bytes).await?;
    let (fields, body) = read_request(form, req, &text)?;
    check_deadline(&fields)?;
    check_pool(&publication, &body.model, PoolKind::Engine, "body:/model")?;
    let facts = RequestAttributes {
        pool: &body.model,
        account: &account,
        work: fields.work.as_ref(),
        path: form.path(),
        domain: &desk.me.domain,
        prompt_tokens: body.cost.prefill,
        streaming: body.stream,
    };
    let verdict = match publication.rules.decide(&facts) {
        Some(verdict) => fields.tighten(verdict),
        None => return Err(RefusalPage::before_acceptance(RefusalReason::NoRule)),
    };
    let submission = Submission {
        account,
        pool: body.model,
        kind: PoolKind::Engine,
        deadline_in: verdict.deadline,
        verdict,
        key: fields.key,
        holder: fields.holder,
        resubmission: fields.resubmission,
        fingerprint: fingerprint(req.method(), form.path(), &text),
        cost: body.cost,
        prefixes: body.prefixes,
        streaming: body.stream,
        options: CallOptions::default(),
    };
    let call = OutgoingCall {
        method: Method::POST,
        path: form.path().to_owned(),
        content_type: JSON_TYPE.to_owned(),
        body: body.outgoing,
        routed: None,
    };
    let wish = AnswerWish {
        stream: body.stream,
        usage: body.include_usage,
    };
    let original = OriginalCall::new(req, text, fields.forwarded);
    let checked = CheckedCall {
        submission,
        call,
        original,
    };
    Ok((checked, wish))
}

/// Try to read fields and body; the faults of both are told together.
fn read_request(
    form: CompletionForm,
    req: &Request,
    text: &[u8],
) -> Result<(CallerFields, EngineBody), RefusalPage> {
    let mut findings = Findings::new();
    let fields = CallerFields::read(req.headers(), &mut findings);
    match EngineBody::parse(form, text) {
        Ok(body) if findings.is_empty() => Ok((fields, body)),
        Ok(_) => Err(RefusalPage::malformed(findings)),
        Err(faults) => {
            findings.append(faults);
            Err(RefusalPage::malformed(findings))
        }
    }
}

/// Try to find a deadline that has not passed yet.
///
/// # Errors
///
/// Returns a refusal where the caller's deadline has passed.
pub(super) fn check_deadline(fields: &CallerFields) -> Result<(), RefusalPage> {
    match fields.deadline {
        CallerDeadline::Absent | CallerDeadline::Within(_) => Ok(()),
        CallerDeadline::Passed => {
            let page = RefusalPage::before_acceptance(RefusalReason::DeadlinePassed);
            Err(page.with_status(http::StatusCode::BAD_REQUEST))
        }
    }
}

/// Try to find a published pool of the right kind.
///
/// # Errors
///
/// Returns a refusal that names the place of the pool's name.
pub(super) fn check_pool(
    publication: &Publication,
    name: &PoolName,
    kind: PoolKind,
    place: &str,
) -> Result<(), RefusalPage> {
    let found = publication.pools.pool(name);
    if found.is_some_and(|pool| pool.kind == kind) {
        return Ok(());
    }
    let page = RefusalPage::before_acceptance(RefusalReason::UnknownPool);
    Err(page.with_detail(format!("{place}: {name}")))
}

/// Get the hash of what a key must not be used for twice. The separators keep
/// two different calls from being the same text.
pub(super) fn fingerprint(method: &Method, path: &str, body: &Bytes) -> u128 {
    let mut hash = Xxh3::new();
    hash.update(method.as_str().as_bytes());
    hash.update(b"\n");
    hash.update(path.as_bytes());
    hash.update(b"\n");
    hash.update(body);
    hash.digest128()
}
