//! Provides the callers' HTTP interface of a host: requests to engines and
//! plain services, questions for addresses and outcomes. It is described in
//! `docs/API.md`.

mod assembly;
mod body;
mod desk;
mod early_answer;
mod engine_body;
mod engine_call;
mod engine_check;
mod engine_members;
mod event_stream;
mod fields;
mod forward;
mod lookup;
mod reception;
mod refusal_page;
mod server;
mod service_call;
mod whole_answer;

pub use desk::{CallerContext, CallerOptions};
pub use server::{HttpServer, serve, serve_router};

use std::sync::Arc;

use salvo::Router;

use crate::operator;
use engine_body::CompletionForm;
use engine_call::EngineCall;
use lookup::{AddressCall, OutcomeCall};
use refusal_page::IncarnationStamp;
use service_call::ServiceCall;

/// Get the routes of the callers' interface and, where the options say so,
/// of the operators' interface.
pub fn router(desk: CallerContext) -> Router {
    let desk = Arc::new(desk);
    let mut router = Router::new()
        .hoop(IncarnationStamp::new(&desk.this_host.run))
        .push(engine_route(&desk, CompletionForm::Chat))
        .push(engine_route(&desk, CompletionForm::Text))
        .push(service_route(&desk))
        .push(Router::with_path("v1/address").get(AddressCall::new(&desk)))
        .push(Router::with_path("v1/requests").get(OutcomeCall::new(&desk)))
        .push(Router::with_path("v1/requests/{id}").get(OutcomeCall::new(&desk)));
    if desk.opts.operator_routes {
        router = router.push(operator::router(&desk));
    }
    router
}

fn engine_route(desk: &Arc<CallerContext>, form: CompletionForm) -> Router {
    Router::with_path(form.path().trim_start_matches('/')).post(EngineCall::new(desk, form))
}

/// The methods are matched one by one by no filter: a service's path takes
/// every method.
fn service_route(desk: &Arc<CallerContext>) -> Router {
    Router::with_path("v1/services/{pool}")
        .goal(ServiceCall::new(desk))
        .push(Router::with_path("{**rest}").goal(ServiceCall::new(desk)))
}
