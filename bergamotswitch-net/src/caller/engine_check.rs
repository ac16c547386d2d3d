//! Provides the validation of requests to engines.

use bergamotswitch_core::entry::{CallOptions, Submission};
use bergamotswitch_core::error::Findings;
use bergamotswitch_core::pool::{PoolKind, PoolName};
use bergamotswitch_core::publication::Publication;
use bergamotswitch_core::refusal::RefusalReason;
use bergamotswitch_core::rules::RequestAttributes;
use http::Method;
use salvo::Request;

use super::body::read_body;
use super::context::CallerContext;
use super::engine_body::{CompletionForm, EngineBody};
use super::fields::{CallerDeadline, CallerFields};
use super::forward::OriginalCall;
use super::refusal_page::{JSON_TYPE, RefusalPage};
use super::submit::CheckedCall;
use crate::fingerprint::fingerprint;
use crate::input::OutgoingCall;

/// An `AnswerFormat` is the format in which the caller requests the answer.
#[derive(Clone, Copy, Debug)]
pub(super) struct AnswerFormat {
    /// Whether the answer is a stream.
    pub(super) stream: bool,
    /// Whether a usage chunk ends the stream.
    pub(super) usage: bool,
}

/// Try to validate a request to an engine.
///
/// # Errors
///
/// Returns a refusal if the request is malformed, with all findings and their
/// places, or if its account, pool, deadline or rule does not allow it to run.
pub(super) async fn check_engine_call(
    context: &CallerContext,
    form: CompletionForm,
    req: &mut Request,
) -> Result<(CheckedCall, AnswerFormat), RefusalPage> {
    let publication = context.current_publication();
    let account = context.authenticate(&publication, req.headers())?;
    let text = read_body(req, publication.limits.max_body_bytes).await?;
    let (fields, body) = read_request(form, req, &text)?;
    check_deadline(&fields)?;
    check_pool(&publication, &body.model, PoolKind::Engine, "body:/model")?;
    let facts = RequestAttributes {
        pool: &body.model,
        account: &account,
        work: fields.work.as_ref(),
        path: form.path(),
        domain: &context.this_host.domain,
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
        parts: Vec::new(),
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
    let format = AnswerFormat {
        stream: body.stream,
        usage: body.include_usage,
    };
    let original = OriginalCall::new(req, text, fields.forwarded);
    let checked = CheckedCall {
        submission,
        call,
        original,
    };
    Ok((checked, format))
}

/// Try to parse the header fields and the body; the findings of both are
/// reported together.
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
        Err(body_findings) => {
            findings.append(body_findings);
            Err(RefusalPage::malformed(findings))
        }
    }
}

/// Try to confirm that the caller's deadline has not passed.
///
/// # Errors
///
/// Returns a refusal if it has passed.
pub(super) fn check_deadline(fields: &CallerFields) -> Result<(), RefusalPage> {
    match fields.deadline {
        CallerDeadline::Absent | CallerDeadline::Within(_) => Ok(()),
        CallerDeadline::Passed => {
            let page = RefusalPage::before_acceptance(RefusalReason::DeadlinePassed);
            Err(page.with_status(http::StatusCode::BAD_REQUEST))
        }
    }
}

/// Try to confirm that a pool of the given kind is published.
///
/// # Errors
///
/// Returns a refusal with the place of the pool's name in the request.
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
