//! Provides the framing of HTTP answers.

use bergamotswitch_core::target_answer::AnswerFraming;
use http::{HeaderValue, Method, Response, StatusCode, header};

/// Get how the end of the answer to a request with this method is marked.
pub(crate) fn framing_of<Body>(method: &Method, response: &Response<Body>) -> AnswerFraming {
    let is_bodiless = method == Method::HEAD
        || matches!(
            response.status(),
            StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED
        );
    let headers = response.headers();
    let codings = headers.get_all(header::TRANSFER_ENCODING).iter();
    AnswerFraming::of(
        !is_bodiless,
        headers.contains_key(header::CONTENT_LENGTH),
        codings.map(HeaderValue::as_bytes),
    )
}
