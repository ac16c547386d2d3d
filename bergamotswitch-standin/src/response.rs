//! Provides the HTTP answers that all stand-ins give.

use std::fmt;

use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderMap, RETRY_AFTER};
use hyper::{Request, Response, StatusCode};
use serde_json::{Value, json};

/// The header that carries a request's identity.
pub(crate) const REQUEST_ID: &str = "x-request-id";

/// The longest request body, in bytes; long sky logs stay far below it.
const MAX_BODY: usize = 16 << 20;

/// A `CloseError` ends an answer's body by closing its connection.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CloseError;

impl fmt::Display for CloseError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the connection is cut on purpose")
    }
}

impl std::error::Error for CloseError {}

/// The body of every answer.
pub(crate) type ResponseBody = UnsyncBoxBody<Bytes, CloseError>;

/// Get a JSON answer.
pub(crate) fn json_response(status: StatusCode, value: &Value) -> Response<ResponseBody> {
    let bytes = Bytes::from(value.to_string());
    let body = Full::new(bytes).map_err(|never| match never {});
    let mut response = Response::new(body.boxed_unsync());
    *response.status_mut() = status;
    let kind = "application/json".parse().expect("a valid header value");
    response.headers_mut().insert(CONTENT_TYPE, kind);
    response
}

/// Get an error answer in the usual form.
pub(crate) fn error_response(status: StatusCode, message: &str) -> Response<ResponseBody> {
    json_response(status, &json!({"error": {"message": message}}))
}

/// Get a refusal, with the seconds after which to try again.
pub(crate) fn refusal_response(status: u16) -> Response<ResponseBody> {
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::SERVICE_UNAVAILABLE);
    let mut response = error_response(status, "refused");
    response.headers_mut().insert(RETRY_AFTER, 1.into());
    response
}

/// Get the request's identity, if it has one.
pub(crate) fn request_id(headers: &HeaderMap) -> Option<String> {
    let value = headers.get(REQUEST_ID)?;
    value.to_str().ok().map(str::to_owned)
}

/// Set a header whose value came from a header or is made of hex digits.
pub(crate) fn set_header(response: &mut Response<ResponseBody>, name: &'static str, value: &str) {
    if let Ok(value) = value.parse() {
        response.headers_mut().insert(name, value);
    }
}

/// Read the whole body; `None` where it is too long or breaks off.
pub(crate) async fn read_body(request: Request<Incoming>) -> Option<Bytes> {
    let body = Limited::new(request.into_body(), MAX_BODY);
    let collected = body.collect().await.ok()?;
    Some(collected.to_bytes())
}

/// Read the body as JSON; null where it is none.
pub(crate) async fn read_json(request: Request<Incoming>) -> Value {
    let body = read_body(request).await.unwrap_or_default();
    serde_json::from_slice(&body).unwrap_or_default()
}

/// Get a number of the query, if it is there.
pub(crate) fn query_number(request: &Request<Incoming>, wanted: &str) -> Option<u64> {
    let query = request.uri().query()?;
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let (_, value) = pairs.find(|(name, _)| *name == wanted)?;
    value.parse().ok()
}
