//! Provides HTTP response and request helpers shared by all stand-ins.

use std::fmt;

use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderMap, RETRY_AFTER};
use hyper::{Request, Response, StatusCode};
use serde_json::{Value, json};

/// The header that carries the request id.
pub(crate) const REQUEST_ID: &str = "x-request-id";

/// The maximum size of a request body, in bytes.
const MAX_BODY: usize = 16 << 20;

/// A `CloseError` is the error that a response body returns to close its
/// connection before the response is complete.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CloseError;

impl fmt::Display for CloseError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "connection closed by fault injection")
    }
}

impl std::error::Error for CloseError {}

/// The body type of every response.
pub(crate) type ResponseBody = UnsyncBoxBody<Bytes, CloseError>;

/// Get a response with a JSON body.
pub(crate) fn json_response(status: StatusCode, value: &Value) -> Response<ResponseBody> {
    let bytes = Bytes::from(value.to_string());
    let body = Full::new(bytes).map_err(|never| match never {});
    let mut response = Response::new(body.boxed_unsync());
    *response.status_mut() = status;
    let kind = "application/json".parse().expect("a valid header value");
    response.headers_mut().insert(CONTENT_TYPE, kind);
    response
}

/// Get an error response, whose JSON body is `{"error": {"message": ...}}`.
pub(crate) fn error_response(status: StatusCode, message: &str) -> Response<ResponseBody> {
    json_response(status, &json!({"error": {"message": message}}))
}

/// Get a refusal with a `Retry-After` header; an invalid status becomes 503.
pub(crate) fn refusal_response(status: u16) -> Response<ResponseBody> {
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::SERVICE_UNAVAILABLE);
    let mut response = error_response(status, "refused");
    response.headers_mut().insert(RETRY_AFTER, 1.into());
    response
}

/// Get the request id from the headers, if there is a valid one.
pub(crate) fn request_id(headers: &HeaderMap) -> Option<String> {
    let value = headers.get(REQUEST_ID)?;
    value.to_str().ok().map(str::to_owned)
}

/// Set a response header; an invalid value is ignored.
pub(crate) fn set_header(response: &mut Response<ResponseBody>, name: &'static str, value: &str) {
    if let Ok(value) = value.parse() {
        response.headers_mut().insert(name, value);
    }
}

/// Read the complete body, or get `None` if it exceeds the limit or its
/// connection fails.
pub(crate) async fn read_body(request: Request<Incoming>) -> Option<Bytes> {
    let body = Limited::new(request.into_body(), MAX_BODY);
    let collected = body.collect().await.ok()?;
    Some(collected.to_bytes())
}

/// Read the body as JSON, or get null if it is not valid JSON.
pub(crate) async fn read_json(request: Request<Incoming>) -> Value {
    let body = read_body(request).await.unwrap_or_default();
    serde_json::from_slice(&body).unwrap_or_default()
}

/// Get a numeric query parameter, if it is present and valid.
pub(crate) fn query_number(request: &Request<Incoming>, wanted: &str) -> Option<u64> {
    let query = request.uri().query()?;
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let (_, value) = pairs.find(|(name, _)| *name == wanted)?;
    value.parse().ok()
}
