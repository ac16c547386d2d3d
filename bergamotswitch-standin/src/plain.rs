//! Provides the plain service stand-in: one call, one answer.

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

/// The identity and text with which a crossed call is answered.
const CROSSED_TEXT: &str = "crossed";

/// A `PlainCore` is what all connections of a plain service share.
#[derive(Debug)]
struct PlainCore {
    name: String,
    contract: TargetContract,
    control: Arc<TargetControl>,
}

/// A `PlainStandin` is a running plain service; dropping it stops it.
#[derive(Debug)]
pub struct PlainStandin {
    core: Arc<PlainCore>,
    listener: ListenerHandle,
}

impl PlainStandin {
    /// Try to start a plain service stand-in.
    ///
    /// # Errors
    ///
    /// Returns the error of binding the address.
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

    /// Get the switches and the ledger.
    pub fn control(&self) -> &TargetControl {
        &self.core.control
    }

    /// Cut all connections, as a restarted process does.
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

/// Get an answer that promises its whole length and breaks off in the middle.
fn truncated_response(text: &str) -> Response<ResponseBody> {
    let half = Bytes::copy_from_slice(&text.as_bytes()[..text.len() / 2]);
    let pieces = stream::unfold(Some(half), |half| async move {
        if let Some(half) = half {
            return Some((Ok(Frame::data(half)), None));
        }
        // The first half is flushed before the connection is cut.
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

/// A `RunGuard` records a run as broken unless it finished: the handler is
/// dropped where the caller's connection closes first.
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
