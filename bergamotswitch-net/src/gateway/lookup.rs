//! Provides the readiness checks, host address lookups and metrics of the
//! gateway.

use std::sync::Arc;
use std::time::Duration;

use bergamotswitch_core::address::near_first;
use bergamotswitch_platform::lookup::{self, LookupCall, MAX_ADDRESSES};
use bytes::Bytes;
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use tokio::sync::oneshot;

use super::GatewayContext;
use super::answer_body::AnswerBody;
use crate::input::NodeInput;

/// How long callers may cache the addresses of hosts. Some cache them for three
/// times as long, and a stopping host serves calls until then.
pub(crate) const ADDRESS_LIFETIME: Duration = Duration::from_millis(1_000);

/// Handle a readiness check or a lookup of host addresses.
pub(super) async fn answer(
    context: Arc<GatewayContext>,
    request: Request<Incoming>,
) -> Response<AnswerBody> {
    let page = match LookupCall::read(request.method(), request.uri()) {
        Some(LookupCall::Addresses { domain }) => {
            let hosts = query_loop(&context, NodeInput::ReadyHosts)
                .await
                .unwrap_or_default();
            let addresses = near_first(&hosts, domain.as_ref(), MAX_ADDRESSES);
            lookup::address_response(addresses, ADDRESS_LIFETIME)
        }
        Some(LookupCall::Ready) => {
            let ready = query_loop(&context, NodeInput::IsReady)
                .await
                .unwrap_or(false);
            lookup::ready_response(ready)
        }
        None => lookup::status_response(StatusCode::NOT_FOUND),
    };
    page.map(AnswerBody::buffered)
}

/// Get the metrics, for any path.
pub(super) async fn metrics(
    context: Arc<GatewayContext>,
    _request: Request<Incoming>,
) -> Response<AnswerBody> {
    Response::new(AnswerBody::buffered(Bytes::from(context.metrics.render())))
}

/// Query the event loop. Returns `None` if it has ended.
pub(super) async fn query_loop<T>(
    context: &GatewayContext,
    input: impl FnOnce(oneshot::Sender<T>) -> NodeInput,
) -> Option<T> {
    let (reply, answer) = oneshot::channel();
    context.node.send(input(reply)).ok()?;
    answer.await.ok()
}
