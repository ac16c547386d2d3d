//! Provides the stand-in for a plain service, which answers each call with one
//! JSON body.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::header::{CONTENT_LENGTH, CONTENT_TYPE};
use hyper::{Request, Response, StatusCode};
use serde_json::json;
use xxhash_rust::xxh3::xxh3_64;

use crate::deployment::TargetContract;
use crate::ledger::RunOutcome;
use crate::listener::{ListenerControl, ListenerHandle, listen};
use crate::response::{
    CloseError, REQUEST_ID, ResponseBody, error_response, json_response, read_body,
    refusal_response, request_id, set_header,
};
use crate::target_control::TargetControl;

/// The request id and text of the answer under the `crossed` switch.
const CROSSED_TEXT: &str = "crossed";

/// A `PlainCore` is the state that all connections of a plain service share.
#[derive(Debug)]
struct PlainCore {
    name: String,
    contract: TargetContract,
    control: Arc<TargetControl>,
}

/// A `PlainStandin` is a running plain service stand-in; it stops when dropped.
#[derive(Debug)]
pub struct PlainStandin {
    core: Arc<PlainCore>,
    listener: ListenerHandle,
}

impl PlainStandin {
    /// Try to start a plain service stand-in on an address.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub async fn try_start(
        address: SocketAddr,
        name: &str,
        contract: TargetContract,
    ) -> io::Result<Self> {
        let control = ListenerControl::new();
        let core = Arc::new(PlainCore {
            name: name.to_owned(),
            contract,
            control: TargetControl::new(Arc::clone(&control)),
        });
        let shared = Arc::clone(&core);
        let listener = listen(address, control, move |request| {
            handle(Arc::clone(&shared), request)
        })
        .await?;
        Ok(PlainStandin { core, listener })
    }

    /// Get the bound address.
    pub fn address(&self) -> SocketAddr {
        self.listener.address
    }

    /// Get the fault switches and the ledger.
    pub fn control(&self) -> &TargetControl {
        &self.core.control
    }

    /// Simulate a process restart by closing all connections.
    pub fn restart(&self) {
        self.core.control.close_connections();
    }
}

async fn handle(core: Arc<PlainCore>, request: Request<Incoming>) -> Response<ResponseBody> {
    let id = request_id(request.headers()).unwrap_or_default();
    let path = request.uri().to_string();
    let Some(body) = read_body(request).await else {
        return error_response(StatusCode::BAD_REQUEST, "the body is too long or broke off");
    };
    let switches = core.control.switches();
    let refused = switches.refuse;
    if let Some(status) = refused.filter(|_| core.contract.refusal_means_not_run) {
        return refusal_response(status);
    }
    let number = core.control.ledger_mut().start(&id, xxh3_64(&body));
    let run = RunGuard {
        control: &core.control,
        number,
        outcome: RunOutcome::Broken,
    };
    if let Some(status) = refused {
        return refusal_response(status);
    }
    if switches.error {
        return error_response(StatusCode::INTERNAL_SERVER_ERROR, "the run broke");
    }
    let delay = Duration::from_millis(switches.delay_ms);
    tokio::time::sleep(switches.scaled(delay)).await;
    run.finish();
    let text = String::from_utf8_lossy(&body);
    let (id, echo) = match switches.crossed {
        true => (CROSSED_TEXT, CROSSED_TEXT),
        false => (id.as_str(), text.as_ref()),
    };
    let answer = json!({"service": core.name, "path": path, "echo": echo, "request_id": id});
    // The switches may have changed during the delay.
    let switches = core.control.switches();
    let mut response = match switches.truncate || switches.drop.is_some() {
        true => truncated_response(&answer.to_string()),
        false => json_response(StatusCode::OK, &answer),
    };
    if switches.crossed {
        set_header(&mut response, REQUEST_ID, id);
    }
    response
}

/// Get a response with the full `Content-Length` whose body is cut off in the
/// middle by closing the connection.
fn truncated_response(text: &str) -> Response<ResponseBody> {
    let half = Bytes::copy_from_slice(&text.as_bytes()[..text.len() / 2]);
    let pieces = stream::unfold(Some(half), |half| async move {
        if let Some(half) = half {
            return Some((Ok(Frame::data(half)), None));
        }
        // Yielding lets the first half be flushed before the connection closes.
        tokio::task::yield_now().await;
        Some((Err(CloseError), None))
    });
    let mut response = Response::new(StreamBody::new(pieces).boxed_unsync());
    set_header(&mut response, CONTENT_TYPE.as_str(), "application/json");
    set_header(
        &mut response,
        CONTENT_LENGTH.as_str(),
        &text.len().to_string(),
    );
    response
}

/// A `RunGuard` records the outcome of a run when dropped: finished, or broken if
/// the call failed or its handler was dropped because the caller's connection
/// closed.
struct RunGuard<'a> {
    control: &'a TargetControl,
    number: crate::ledger::RunNumber,
    outcome: RunOutcome,
}

impl RunGuard<'_> {
    fn finish(mut self) {
        self.outcome = RunOutcome::Finished;
    }
}

impl Drop for RunGuard<'_> {
    fn drop(&mut self) {
        self.control.ledger_mut().end(self.number, self.outcome);
    }
}
