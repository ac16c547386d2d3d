//! Provides refusals as HTTP responses to callers: a status, header fields and
//! JSON.

use bergamotswitch_core::error::Findings;
use bergamotswitch_core::host::HostIncarnation;
use bergamotswitch_core::refusal::{Refusal, RefusalReason, RunClaim};
use bytes::Bytes;
use http::{HeaderValue, StatusCode, header};
use salvo::{Depot, FlowCtrl, Handler, Request, Response, async_trait};
use serde_json::{Value, json};

use super::fields::{INCARNATION_FIELD, SHOULD_RETRY_FIELD};

/// The content type of refusals.
pub(super) const JSON_TYPE: &str = "application/json";

/// A `RefusalPage` is a refusal as an HTTP response, with the findings and the
/// detail that it reports.
#[derive(Clone, Debug)]
pub(super) struct RefusalPage {
    refusal: Refusal,
    status: StatusCode,
    findings: Findings,
    detail: Option<String>,
}

impl RefusalPage {
    /// Get the response to a refusal.
    pub(super) fn new(refusal: Refusal) -> Self {
        RefusalPage {
            status: status_of(refusal.reason()),
            refusal,
            findings: Findings::new(),
            detail: None,
        }
    }

    /// Get the response to a request refused before it was accepted.
    pub(super) fn before_acceptance(reason: RefusalReason) -> Self {
        RefusalPage::new(Refusal::before_acceptance(reason))
    }

    /// Get the response to a malformed request.
    pub(super) fn malformed(findings: Findings) -> Self {
        let mut page = RefusalPage::before_acceptance(RefusalReason::BadRequest);
        page.findings = findings;
        page
    }

    /// Set another status than that of the reason.
    pub(super) fn with_status(mut self, status: StatusCode) -> Self {
        self.status = status;
        self
    }

    /// Set a detail that is added to the message of the reason.
    pub(super) fn with_detail(mut self, detail: impl Into<String>) -> Self {
        self.detail = Some(detail.into());
        self
    }

    /// Get the reason.
    pub(super) fn reason(&self) -> RefusalReason {
        self.refusal.reason()
    }

    /// Get the JSON text.
    pub(super) fn json_text(&self) -> String {
        let mut message = message_of(self.refusal.reason()).to_owned();
        if let Some(detail) = &self.detail {
            message.push_str(": ");
            message.push_str(detail);
        }
        let mut error = json!({
            "code": self.refusal.reason().as_str(),
            "message": message,
            "ran": self.refusal.claim().as_str(),
        });
        if let Some(span) = self.refusal.retry_after() {
            error["retry_after_ms"] = json!(u64::try_from(span.as_millis()).unwrap_or(u64::MAX));
        }
        if !self.findings.is_empty() {
            error["findings"] = self.findings_json();
        }
        json!({ "error": error }).to_string()
    }

    fn findings_json(&self) -> Value {
        let findings = self.findings.iter().map(|finding| {
            json!({
                "place": finding.place,
                "found": finding.found,
                "allowed": finding.allowed,
            })
        });
        Value::Array(findings.collect())
    }

    /// Write status, header fields and JSON into a response.
    pub(super) fn write(&self, res: &mut Response) {
        res.status_code(self.status);
        let headers = res.headers_mut();
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static(JSON_TYPE));
        if let Some(span) = self.refusal.retry_after() {
            // The field has whole seconds. Rounded down, it would make callers
            // retry too early.
            let seconds = span.as_millis().div_ceil(1000);
            let seconds = u64::try_from(seconds).unwrap_or(u64::MAX);
            headers.insert(header::RETRY_AFTER, HeaderValue::from(seconds));
        }
        if self.status == StatusCode::UNAUTHORIZED {
            headers.insert(header::WWW_AUTHENTICATE, HeaderValue::from_static("Bearer"));
        }
        if self.refusal.claim() == RunClaim::Unknown {
            forbid_retry(res);
        }
        res.body(Bytes::from(self.json_text()));
    }
}

/// Tell the caller's client library not to send the request again.
///
/// Common libraries retry a failed request by its status alone. If the request
/// may have run, the retry could be a second run.
pub(super) fn forbid_retry(res: &mut Response) {
    let headers = res.headers_mut();
    headers.insert(SHOULD_RETRY_FIELD, HeaderValue::from_static("false"));
}

fn status_of(reason: RefusalReason) -> StatusCode {
    match reason {
        RefusalReason::BadRequest => StatusCode::BAD_REQUEST,
        RefusalReason::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        RefusalReason::UnknownAccount => StatusCode::UNAUTHORIZED,
        RefusalReason::UnknownPool => StatusCode::NOT_FOUND,
        RefusalReason::NoRoute => StatusCode::NOT_FOUND,
        RefusalReason::OverQuota => StatusCode::TOO_MANY_REQUESTS,
        RefusalReason::NoRule => StatusCode::FORBIDDEN,
        RefusalReason::KeyReused => StatusCode::CONFLICT,
        RefusalReason::Overloaded => StatusCode::TOO_MANY_REQUESTS,
        RefusalReason::DeadlinePassed => StatusCode::GATEWAY_TIMEOUT,
        RefusalReason::RetriesExhausted
        | RefusalReason::TargetFailed
        | RefusalReason::AnswerTruncated
        | RefusalReason::Lost => StatusCode::BAD_GATEWAY,
        RefusalReason::NoTarget
        | RefusalReason::ShedForHigherTier
        | RefusalReason::OutcomeUnknown
        | RefusalReason::Stopping
        | RefusalReason::NotReady
        | RefusalReason::KeyUnconfirmed
        | RefusalReason::Quarantined
        | RefusalReason::StreamUnknown
        | RefusalReason::VersionGone
        | RefusalReason::AboveShare
        | RefusalReason::CallerLeft => StatusCode::SERVICE_UNAVAILABLE,
    }
}

fn message_of(reason: RefusalReason) -> &'static str {
    match reason {
        RefusalReason::BadRequest => "the request is malformed",
        RefusalReason::TooLarge => "the body is larger than allowed",
        RefusalReason::UnknownAccount => "no client account has this bearer key",
        RefusalReason::UnknownPool => "no such model or service",
        RefusalReason::NoRule => "no rule lets this request run",
        RefusalReason::NoTarget => "no target exists where the rule lets this request run",
        RefusalReason::DeadlinePassed => "the deadline has passed",
        RefusalReason::Overloaded => "overloaded, only work of higher tiers is kept",
        RefusalReason::ShedForHigherTier => "shed for work of a higher tier",
        RefusalReason::RetriesExhausted => "the retries are used up",
        RefusalReason::TargetFailed => "the target failed",
        RefusalReason::AnswerTruncated => "the answer broke off",
        RefusalReason::Lost => "the host that held the request is gone",
        RefusalReason::OutcomeUnknown => "what became of this key is not known",
        RefusalReason::KeyReused => "the key was used for another request",
        RefusalReason::Stopping => "this host is stopping",
        RefusalReason::NotReady => "this host has no valid configuration yet",
        RefusalReason::CallerLeft => "the caller left",
        RefusalReason::OverQuota => "the client account has used up its quota",
        RefusalReason::NoRoute => "no route leads anywhere from here",
        RefusalReason::KeyUnconfirmed => "it is not known whether this key still holds",
        RefusalReason::StreamUnknown => "nobody knows where this stream began, it may begin anew",
        RefusalReason::VersionGone => "no target has the version that began this stream",
        RefusalReason::AboveShare => "overloaded, and the client account is above its share",
        RefusalReason::Quarantined => "targets crashed under this call, it is not run for now",
    }
}

/// An `IncarnationHeader` adds the incarnation of this host to each answer that
/// does not already have that of another host.
#[derive(Debug)]
pub(super) struct IncarnationHeader(HeaderValue);

impl IncarnationHeader {
    /// Get the header of an incarnation.
    pub(super) fn new(incarnation: &HostIncarnation) -> Self {
        IncarnationHeader(header_value(incarnation))
    }
}

#[async_trait]
impl Handler for IncarnationHeader {
    async fn handle(
        &self,
        req: &mut Request,
        depot: &mut Depot,
        res: &mut Response,
        ctrl: &mut FlowCtrl,
    ) {
        ctrl.call_next(req, depot, res).await;
        res.headers_mut()
            .entry(INCARNATION_FIELD)
            .or_insert_with(|| self.0.clone());
    }
}

/// Get the header value of something whose text is visible ASCII.
pub(super) fn header_value(value: impl std::fmt::Display) -> HeaderValue {
    HeaderValue::try_from(value.to_string()).unwrap_or(HeaderValue::from_static(""))
}
