//! Provides the handling of calls to plain services.

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
use super::desk::CallerDesk;
use super::engine_check::{check_deadline, check_pool, fingerprint};
use super::fields::{CallerFields, REQUEST_FIELD};
use super::forward::{OriginalCall, forward_back};
use super::reception::{CheckedCall, HandedOver, hand_over};
use super::refusal_page::{RefusalPage, text_value};
use super::whole_answer::WholeAnswer;
use crate::answer::AnswerPart;
use crate::input::OutgoingCall;

/// What stands before the pool's name in the path of a call.
const SERVICE_PREFIX: &str = "/v1/services/";

/// The cost of a plain call, which has no tokens.
const CALL_COST: TokenCost = TokenCost {
    prefill: 1,
    decode: 1,
};

/// The content type of a call that names none.
const DEFAULT_TYPE: &str = "application/octet-stream";

/// A `ServiceCall` handles calls to plain services. Their answers are passed
/// on whole: so a broken one can never pass for a whole one.
#[derive(Debug)]
pub(super) struct ServiceCall {
    desk: Arc<CallerDesk>,
}

/// A `ServicePath` is a call's path, taken apart.
#[derive(Debug)]
struct ServicePath {
    pool: PoolName,
    /// Path and query at the target, as the caller wrote them.
    target: String,
}

impl ServicePath {
    /// Try to take a path apart. The router's own parts are decoded; what
    /// goes to the target must stay as the caller wrote it.
    fn parse(original: &str) -> Result<Self, Findings> {
        let rest = original.strip_prefix(SERVICE_PREFIX).unwrap_or_default();
        // The pool's name ends at the next slash, or at the query.
        let end = rest.find(['/', '?']).unwrap_or(rest.len());
        let (name, target) = rest.split_at(end);
        let pool = PoolName::try_from(name).map_err(|error| {
            let mut findings = Findings::new();
            findings.add("path:", format!("{name:?}"), error.to_string());
            findings
        })?;
        // At the target the path begins with a slash in any case.
        let target = match target.starts_with('/') {
            true => target.to_owned(),
            false => format!("/{target}"),
        };
        Ok(ServicePath { pool, target })
    }
}

impl ServiceCall {
    /// Get the handler.
    pub(super) fn new(desk: &Arc<CallerDesk>) -> Self {
        ServiceCall {
            desk: Arc::clone(desk),
        }
    }

    async fn check(&self, req: &mut Request) -> Result<CheckedCall, RefusalPage> {
        let publication = self.desk.in_force();
        let account = self.desk.authenticate(&publication, req.headers())?;
        let body = read_body(req, publication.limits.max_body_bytes).await?;
        let mut findings = Findings::new();
        let fields = CallerFields::read(req.headers(), &mut findings);
        let forwarded = fields.forwarded;
        let original = OriginalCall::new(req, body, forwarded);
        let path = match ServicePath::parse(&original.path_and_query) {
            Ok(path) if findings.is_empty() => path,
            Ok(_) => return Err(RefusalPage::malformed(findings)),
            Err(faults) => {
                findings.append(faults);
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
            domain: &self.desk.me.domain,
            prompt_tokens: CALL_COST.prefill,
            streaming: false,
        };
        let verdict = match publication.rules.decide(&facts) {
            Some(verdict) => fields.tighten(verdict),
            None => return Err(RefusalPage::before_acceptance(RefusalReason::NoRule)),
        };
        let target = &original.path_and_query;
        let submission = Submission {
            account,
            pool: path.pool,
            kind: PoolKind::Plain,
            deadline_in: verdict.deadline,
            verdict,
            key: fields.key,
            holder: fields.holder,
            resubmission: fields.resubmission,
            fingerprint: fingerprint(req.method(), target, &original.body),
            cost: CALL_COST,
            prefixes: Vec::new(),
            streaming: false,
            options: CallOptions::default(),
        };
        let call = OutgoingCall {
            method: req.method().clone(),
            path: path.target,
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
        let follower = match hand_over(&self.desk, submission, call).await {
            HandedOver::Here(follower) => follower,
            HandedOver::Refused(page) => return page.write(res),
            HandedOver::Elsewhere(holder) => {
                return forward_back(&self.desk, &original, &holder, res).await;
            }
        };
        let id = text_value(follower.id());
        res.headers_mut().insert(REQUEST_FIELD, id);
        let mut parts = follower.collect_parts().await;
        if let Some(AnswerPart::Forward(holder)) = parts.pop_if(|part| part.is_forward()) {
            return forward_back(&self.desk, &original.seen_before(), &holder, res).await;
        }
        match WholeAnswer::from_parts(parts) {
            Ok(answer) => answer.write_plain(res),
            Err(page) => page.write(res),
        }
    }
}

fn content_type(req: &Request) -> String {
    let named = req.headers().get(header::CONTENT_TYPE);
    let text = named.and_then(|value| value.to_str().ok());
    text.unwrap_or(DEFAULT_TYPE).to_owned()
}

#[async_trait]
impl Handler for ServiceCall {
    async fn handle(
        &self,
        req: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        match self.check(req).await {
            Ok(checked) => self.answer(checked, res).await,
            Err(page) => self.desk.turn_away(&page, res),
        }
    }
}
