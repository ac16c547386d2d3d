//! Provides the answers to what is asked of a host beside calls.

use std::sync::Arc;
use std::time::Duration;

use bergamotswitch_core::address::near_first;
use bergamotswitch_platform::lookup::{self, LookupCall, MAX_ADDRESSES};
use bytes::Bytes;
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use tokio::sync::oneshot;

use super::GatewayDesk;
use super::answer_body::AnswerBody;
use crate::input::NodeInput;

/// How long callers may keep an answer. Some keep it three times as long, and
/// a stopping host has to serve them until then: with one second it is done
/// well within eight.
pub(crate) const ADDRESS_LIFETIME: Duration = Duration::from_millis(1_000);

/// Answer a question.
pub(super) async fn answer(
    desk: Arc<GatewayDesk>,
    request: Request<Incoming>,
) -> Response<AnswerBody> {
    let page = match LookupCall::read(request.method(), request.uri()) {
        Some(LookupCall::Addresses { domain }) => {
            let hosts = ask(&desk, NodeInput::ReadyHosts).await.unwrap_or_default();
            let addresses = near_first(&hosts, domain.as_ref(), MAX_ADDRESSES);
            lookup::address_response(addresses, ADDRESS_LIFETIME)
        }
        Some(LookupCall::Ready) => {
            let ready = ask(&desk, NodeInput::IsReady).await.unwrap_or(false);
            lookup::ready_response(ready)
        }
        None => lookup::status_response(StatusCode::NOT_FOUND),
    };
    page.map(AnswerBody::whole)
}

/// Show the metrics, whatever the path.
pub(super) async fn metrics(
    desk: Arc<GatewayDesk>,
    _request: Request<Incoming>,
) -> Response<AnswerBody> {
    Response::new(AnswerBody::whole(Bytes::from(desk.metrics.render())))
}

/// Ask the loop; `None` where it is gone.
pub(super) async fn ask<T>(
    desk: &GatewayDesk,
    question: impl FnOnce(oneshot::Sender<T>) -> NodeInput,
) -> Option<T> {
    let (reply, answer) = oneshot::channel();
    desk.node.send(question(reply)).ok()?;
    answer.await.ok()
}
