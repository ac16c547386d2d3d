//! Provides the handler of calls to plain services.

use std::sync::Arc;

use bergamotswitch_core::entry::{CallOptions, Submission};
use bergamotswitch_core::error::Findings;
use bergamotswitch_core::pool::{PoolKind, PoolName};
use bergamotswitch_core::refusal::RefusalReason;
use bergamotswitch_core::request::TokenCost;
use bergamotswitch_core::rules::RequestAttributes;
use http::header;
use salvo::{Depot, FlowCtrl, Handler, Request, Response, async_trait};

use super::body::read_body;
use super::buffered_answer::BufferedAnswer;
use super::context::CallerContext;
use super::engine_check::{check_deadline, check_pool};
use super::fields::{CallerFields, REQUEST_ID_FIELD};
use super::forward::{OriginalCall, forward_and_write};
use super::refusal_page::{RefusalPage, header_value};
use super::submit::{CheckedCall, SubmittedCall, submit};
use crate::answer::AnswerPart;
use crate::fingerprint::fingerprint;
use crate::input::OutgoingCall;

/// The prefix of a call's path, which the name of the pool follows.
const SERVICE_PREFIX: &str = "/v1/services/";

/// The cost of a plain call, which has no tokens.
const CALL_COST: TokenCost = TokenCost {
    prefill: 1,
    decode: 1,
};

/// The content type of a call that has none.
const DEFAULT_TYPE: &str = "application/octet-stream";

/// A `ServiceHandler` handles calls to plain services. Their answers are
/// buffered, so that a truncated one is never passed on as complete.
#[derive(Debug)]
pub(super) struct ServiceHandler {
    context: Arc<CallerContext>,
}

/// A `ServicePath` is the parsed path of a call.
#[derive(Debug)]
struct ServicePath {
    pool: PoolName,
    /// Path and query at the target, as the caller sent them.
    target_path: String,
}

impl ServicePath {
    /// Try to parse a path. It is taken from the original text, because the
    /// router's parameters are decoded and the target must receive the path
    /// unchanged.
    fn parse(original: &str) -> Result<Self, Findings> {
        let rest = original.strip_prefix(SERVICE_PREFIX).unwrap_or_default();
        // The name of the pool ends at the next slash or at the query.
        let end = rest.find(['/', '?']).unwrap_or(rest.len());
        let (name, target_path) = rest.split_at(end);
        let pool = PoolName::try_from(name).map_err(|error| {
            let mut findings = Findings::new();
            findings.add("path:", format!("{name:?}"), error.to_string());
            findings
        })?;
        // The path at the target always begins with a slash.
        let target_path = match target_path.starts_with('/') {
            true => target_path.to_owned(),
            false => format!("/{target_path}"),
        };
        Ok(ServicePath { pool, target_path })
    }
}

impl ServiceHandler {
    /// Get the handler.
    pub(super) fn new(context: &Arc<CallerContext>) -> Self {
        ServiceHandler {
            context: Arc::clone(context),
        }
    }

    async fn check(&self, req: &mut Request) -> Result<CheckedCall, RefusalPage> {
        let publication = self.context.current_publication();
        let account = self.context.authenticate(&publication, req.headers())?;
        let body = read_body(req, publication.limits.max_body_bytes).await?;
        let mut findings = Findings::new();
        let fields = CallerFields::read(req.headers(), &mut findings);
        let forwarded = fields.forwarded;
        let original = OriginalCall::new(req, body, forwarded);
        let path = match ServicePath::parse(&original.path_and_query) {
            Ok(path) if findings.is_empty() => path,
            Ok(_) => return Err(RefusalPage::malformed(findings)),
            Err(path_findings) => {
                findings.append(path_findings);
                return Err(RefusalPage::malformed(findings));
            }
        };
        check_deadline(&fields)?;
        check_pool(&publication, &path.pool, PoolKind::Plain, "path:")?;
        let facts = RequestAttributes {
            pool: &path.pool,
            account: &account,
            work: fields.work.as_ref(),
            path: req.uri().path(),
            domain: &self.context.this_host.domain,
            prompt_tokens: CALL_COST.prefill,
            streaming: false,
        };
        let verdict = match publication.rules.decide(&facts) {
            Some(verdict) => fields.tighten(verdict),
            None => return Err(RefusalPage::before_acceptance(RefusalReason::NoRule)),
        };
        let path_and_query = &original.path_and_query;
        let submission = Submission {
            account,
            pool: path.pool,
            kind: PoolKind::Plain,
            deadline_in: verdict.deadline,
            verdict,
            key: fields.key,
            holder: fields.holder,
            resubmission: fields.resubmission,
            fingerprint: fingerprint(req.method(), path_and_query, &original.body),
            cost: CALL_COST,
            prefixes: Vec::new(),
            parts: Vec::new(),
            streaming: false,
            options: CallOptions::default(),
        };
        let call = OutgoingCall {
            method: req.method().clone(),
            path: path.target_path,
            content_type: content_type(req),
            body: original.body.clone(),
            routed: None,
        };
        Ok(CheckedCall {
            submission,
            call,
            original,
        })
    }

    async fn answer(&self, checked: CheckedCall, res: &mut Response) {
        let CheckedCall {
            submission,
            call,
            original,
        } = checked;
        let may_rerun = submission.may_rerun();
        let follower = match submit(&self.context, submission, call).await {
            SubmittedCall::Local(follower) => follower,
            SubmittedCall::Refused(page) => return page.write(res),
            SubmittedCall::Remote(holder) => {
                return forward_and_write(&self.context, &original, &holder, res).await;
            }
        };
        let id = header_value(follower.id());
        res.headers_mut().insert(REQUEST_ID_FIELD, id);
        let mut parts = follower.collect_parts().await;
        if let Some(AnswerPart::Forward(holder)) = parts.pop_if(|part| part.is_forward()) {
            return forward_and_write(&self.context, &original.into_resubmission(), &holder, res)
                .await;
        }
        match BufferedAnswer::from_parts(parts) {
            Ok(answer) => answer.write_plain(may_rerun, res),
            Err(page) => page.write(res),
        }
    }
}

fn content_type(req: &Request) -> String {
    let field = req.headers().get(header::CONTENT_TYPE);
    let text = field.and_then(|value| value.to_str().ok());
    text.unwrap_or(DEFAULT_TYPE).to_owned()
}

#[async_trait]
impl Handler for ServiceHandler {
    async fn handle(
        &self,
        req: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        match self.check(req).await {
            Ok(checked) => self.answer(checked, res).await,
            Err(page) => self.context.reject(&page, res),
        }
    }
}
