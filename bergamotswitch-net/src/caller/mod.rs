//! Provides the HTTP interface of a host for callers: requests to engines and
//! plain services, and lookups of addresses and outcomes. It is described in
//! `docs/API.md`.
//!
//! The holder of a request is the host incarnation that accepted it and buffers
//! its answer. Other hosts forward resubmissions and lookups to the holder.

mod assembly;
mod body;
mod buffered_answer;
mod context;
mod early_answer;
mod engine_body;
mod engine_check;
mod engine_handler;
mod engine_members;
mod event_stream;
mod fields;
mod forward;
mod lookup;
mod refusal_page;
mod server;
mod service_handler;
mod submit;

pub use context::{CallerContext, CallerOptions};
pub use server::{HttpServer, serve, serve_router};

use std::sync::Arc;

use salvo::Router;

use crate::operator;
use engine_body::CompletionForm;
use engine_handler::EngineHandler;
use lookup::{AddressHandler, OutcomeHandler};
use refusal_page::IncarnationHeader;
use service_handler::ServiceHandler;

/// Get the routes of the callers' interface and, if the options say so, of the
/// operators' interface.
pub fn router(context: CallerContext) -> Router {
    let context = Arc::new(context);
    let mut router = Router::new()
        .hoop(IncarnationHeader::new(&context.this_host.incarnation))
        .push(engine_route(&context, CompletionForm::Chat))
        .push(engine_route(&context, CompletionForm::Text))
        .push(service_route(&context))
        .push(Router::with_path("v1/address").get(AddressHandler::new(&context)))
        .push(Router::with_path("v1/requests").get(OutcomeHandler::new(&context)))
        .push(Router::with_path("v1/requests/{id}").get(OutcomeHandler::new(&context)));
    if context.opts.operator_routes {
        router = router.push(operator::router(&context));
    }
    router
}

fn engine_route(context: &Arc<CallerContext>, form: CompletionForm) -> Router {
    Router::with_path(form.path().trim_start_matches('/')).post(EngineHandler::new(context, form))
}

/// Get the routes of plain services. They have no method filter, because a
/// service may use every method.
fn service_route(context: &Arc<CallerContext>) -> Router {
    Router::with_path("v1/services/{pool}")
        .goal(ServiceHandler::new(context))
        .push(Router::with_path("{**rest}").goal(ServiceHandler::new(context)))
}
