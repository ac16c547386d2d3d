//! Provides the HTTP interface of a host for operators: metrics, status and
//! health checks.

use std::sync::Arc;
use std::time::Duration;

use http::{HeaderValue, StatusCode, header};
use salvo::writing::Json;
use salvo::{Depot, FlowCtrl, Handler, Request, Response, Router, async_trait};
use serde_json::{Value, json};
use tokio::sync::oneshot;
use tokio::time::timeout;

use crate::caller::CallerContext;
use crate::input::NodeInput;

const METRICS_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// The time after which an event loop that does not answer counts as hung, so
/// that health checks fail.
const LOOP_TIMEOUT: Duration = Duration::from_secs(2);

/// Get the routes of the operator interface.
pub fn router(context: &Arc<CallerContext>) -> Router {
    Router::new()
        .push(Router::with_path("metrics").get(MetricsHandler(Arc::clone(context))))
        .push(Router::with_path("status").get(StatusHandler(Arc::clone(context))))
        .push(Router::with_path("healthz").get(HealthHandler(Arc::clone(context))))
}

/// A `MetricsHandler` handles metrics scrapes.
#[derive(Debug)]
struct MetricsHandler(Arc<CallerContext>);

/// A `StatusHandler` handles queries for the host's status.
#[derive(Debug)]
struct StatusHandler(Arc<CallerContext>);

/// A `HealthHandler` handles health checks.
#[derive(Debug)]
struct HealthHandler(Arc<CallerContext>);

#[async_trait]
impl Handler for MetricsHandler {
    async fn handle(
        &self,
        _req: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        let content_type = HeaderValue::from_static(METRICS_TYPE);
        res.headers_mut().insert(header::CONTENT_TYPE, content_type);
        res.body(self.0.metrics.render());
    }
}

#[async_trait]
impl Handler for StatusHandler {
    async fn handle(
        &self,
        _req: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        match loop_status(&self.0).await {
            Some(status) => res.render(Json(status)),
            None => unhealthy(res, json!({ "healthy": false, "loop": "no answer" })),
        }
    }
}

#[async_trait]
impl Handler for HealthHandler {
    async fn handle(
        &self,
        _req: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        if loop_status(&self.0).await.is_none() {
            return unhealthy(res, json!({ "healthy": false, "loop": "no answer" }));
        }
        let missing = self.0.current_publication().missing();
        if !missing.is_empty() {
            return unhealthy(res, json!({ "healthy": false, "missing": missing }));
        }
        res.render(Json(json!({ "healthy": true })));
    }
}

/// Get the event loop's status, or `None` if the event loop has ended or hangs.
async fn loop_status(context: &CallerContext) -> Option<Value> {
    let (reply, status) = oneshot::channel();
    context.node.send(NodeInput::Status(reply)).ok()?;
    timeout(LOOP_TIMEOUT, status).await.ok()?.ok()
}

fn unhealthy(res: &mut Response, body: Value) {
    res.status_code(StatusCode::SERVICE_UNAVAILABLE);
    res.render(Json(body));
}
