//! Provides the callers' lookups: the hosts to use, and the outcome of a
//! request.

use std::sync::Arc;

use bergamotswitch_core::address::{AddressQuery, CallerHash};
use bergamotswitch_core::client_account::AccountName;
use bergamotswitch_core::entry::{OutcomeQuery, OutcomeView};
use bergamotswitch_core::error::Findings;
use bergamotswitch_core::failure_domain::DomainName;
use bergamotswitch_core::host::Incarnation;
use bergamotswitch_core::refusal::RefusalReason;
use bergamotswitch_core::request::{CallerKey, RequestId};
use bytes::Bytes;
use salvo::writing::Json;
use salvo::{Depot, FlowCtrl, Handler, Request, Response, async_trait};
use serde_json::{Value, json};
use tokio::sync::oneshot;

use super::context::{CallerContext, loop_stopped};
use super::fields::CallerFields;
use super::forward::{OriginalCall, forward_and_write};
use super::refusal_page::RefusalPage;
use crate::input::NodeInput;

const INCARNATION_DIGITS: usize = 32;

/// An `AddressHandler` handles lookups of the hosts to use.
#[derive(Debug)]
pub(super) struct AddressHandler {
    context: Arc<CallerContext>,
}

/// An `OutcomeHandler` handles lookups of the outcome of a request.
#[derive(Debug)]
pub(super) struct OutcomeHandler {
    context: Arc<CallerContext>,
}

impl AddressHandler {
    /// Get the handler.
    pub(super) fn new(context: &Arc<CallerContext>) -> Self {
        AddressHandler {
            context: Arc::clone(context),
        }
    }

    async fn answer(&self, req: &Request) -> Result<Value, RefusalPage> {
        let publication = self.context.current_publication();
        let account = self.context.authenticate(&publication, req.headers())?;
        let domain = match req.query::<String>("domain") {
            None => None,
            Some(text) => Some(DomainName::try_from(text.as_str()).map_err(|error| {
                let found = format!("{text:?}");
                malformed("query:/domain", &found, &error.to_string())
            })?),
        };
        let query = AddressQuery {
            account,
            caller: caller_hash(req),
            domain,
        };
        let answer = query_loop(&self.context, |reply| NodeInput::Address(query, reply)).await?;
        Ok(json!(answer))
    }
}

/// Get the hash that distinguishes this caller from others: of the name that it
/// gives, or else of its IP address. Callers behind one IP address need a name
/// to be distinguished.
fn caller_hash(req: &Request) -> CallerHash {
    if let Some(name) = req.query::<String>("caller") {
        return CallerHash::of(&name);
    }
    let address = req.remote_addr();
    let ip = address
        .as_ipv4()
        .map(|address| address.ip().to_string())
        .or_else(|| address.as_ipv6().map(|address| address.ip().to_string()));
    CallerHash::of(&ip.unwrap_or_default())
}

impl OutcomeHandler {
    /// Get the handler.
    pub(super) fn new(context: &Arc<CallerContext>) -> Self {
        OutcomeHandler {
            context: Arc::clone(context),
        }
    }

    async fn answer(&self, req: &Request, res: &mut Response) -> Result<(), RefusalPage> {
        let publication = self.context.current_publication();
        let account = self.context.authenticate(&publication, req.headers())?;
        let mut findings = Findings::new();
        let fields = CallerFields::read(req.headers(), &mut findings);
        if !findings.is_empty() {
            return Err(RefusalPage::malformed(findings));
        }
        // If the caller names the incarnation of another host, that host
        // answers, as it holds the key.
        if let Some(holder) = fields.holder
            && holder.host != self.context.this_host.incarnation.host
        {
            let original = OriginalCall::new(req, Bytes::new(), fields.forwarded);
            forward_and_write(&self.context, &original, &holder, res).await;
            return Ok(());
        }
        let query = outcome_query(req, account)?;
        let view = query_loop(&self.context, |reply| NodeInput::Outcome(query, reply)).await?;
        res.render(Json(view_json(&view)));
        Ok(())
    }
}

/// Try to query the event loop.
///
/// # Errors
///
/// Returns a refusal if the event loop has ended.
async fn query_loop<T>(
    context: &CallerContext,
    input: impl FnOnce(oneshot::Sender<T>) -> NodeInput,
) -> Result<T, RefusalPage> {
    let (reply, answer) = oneshot::channel();
    context
        .node
        .send(input(reply))
        .map_err(|_| loop_stopped())?;
    answer.await.map_err(|_| loop_stopped())
}

fn malformed(place: &str, found: &str, allowed: &str) -> RefusalPage {
    let mut findings = Findings::new();
    findings.add(place, found, allowed);
    RefusalPage::malformed(findings)
}

fn outcome_query(req: &Request, account: AccountName) -> Result<OutcomeQuery, RefusalPage> {
    if let Some(text) = req.param::<String>("id") {
        return match request_id(&text) {
            Some(id) => Ok(OutcomeQuery::Id(id)),
            None => Err(malformed("path:", &format!("{text:?}"), "a request's id")),
        };
    }
    match req.query::<String>("key") {
        None => Err(malformed("query:/key", "nothing", "a caller's key")),
        Some(text) => match CallerKey::try_from(text.clone()) {
            Ok(key) => Ok(OutcomeQuery::Key(account, key)),
            Err(error) => Err(malformed(
                "query:/key",
                &format!("{text:?}"),
                &error.to_string(),
            )),
        },
    }
}

/// Try to parse a request id: 32 hex digits, a dash and a decimal number.
fn request_id(text: &str) -> Option<RequestId> {
    let (digits, number) = text.split_once('-')?;
    let hex_only = digits.bytes().all(|byte| byte.is_ascii_hexdigit());
    if digits.len() != INCARNATION_DIGITS || !hex_only {
        return None;
    }
    Some(RequestId {
        incarnation: Incarnation(u128::from_str_radix(digits, 16).ok()?),
        sequence: number.parse().ok()?,
    })
}

fn view_json(view: &OutcomeView) -> Value {
    match view {
        OutcomeView::Waiting(id) => state_json("waiting", id),
        OutcomeView::Running(id) => state_json("running", id),
        OutcomeView::Answered(id) => state_json("answered", id),
        OutcomeView::Refused(id, refusal) => {
            let mut state = state_json("refused", id);
            state["code"] = json!(refusal.reason().as_str());
            state["ran"] = json!(refusal.claim().as_str());
            state
        }
        OutcomeView::Unknown(reason) => unknown_json(*reason),
    }
}

fn state_json(state: &str, id: &RequestId) -> Value {
    json!({ "state": state, "request": id.to_string() })
}

fn unknown_json(reason: RefusalReason) -> Value {
    json!({ "state": "unknown", "code": reason.as_str(), "ran": "unknown" })
}

#[async_trait]
impl Handler for AddressHandler {
    async fn handle(
        &self,
        req: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        match self.answer(req).await {
            Ok(answer) => res.render(Json(answer)),
            Err(page) => self.context.reject(&page, res),
        }
    }
}

#[async_trait]
impl Handler for OutcomeHandler {
    async fn handle(
        &self,
        req: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        if let Err(page) = self.answer(req, res).await {
            self.context.reject(&page, res);
        }
    }
}
