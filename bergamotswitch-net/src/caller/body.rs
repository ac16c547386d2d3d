//! Provides the reading of request bodies up to a size limit.

use bergamotswitch_core::error::Findings;
use bergamotswitch_core::refusal::RefusalReason;
use bytes::{Bytes, BytesMut};
use http::StatusCode;
use http_body_util::BodyExt;
use hyper::body::Body;
use salvo::Request;

use super::refusal_page::RefusalPage;

/// Try to read the complete body of a request. At most `limit` bytes of it are
/// buffered, and other requests are not blocked meanwhile.
///
/// # Errors
///
/// Returns a refusal if the body is longer than `limit`, by its declared length
/// or by the bytes read, or if it could not be read to its end.
pub(super) async fn read_body(req: &mut Request, limit: u64) -> Result<Bytes, RefusalPage> {
    let mut body = req.take_body();
    let declared = body.size_hint().lower();
    if declared > limit {
        return Err(too_large(limit));
    }
    let mut buffer = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| read_failure(&error))?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        let read = buffer.len().saturating_add(data.len());
        if u64::try_from(read).is_ok_and(|read| read > limit) {
            return Err(too_large(limit));
        }
        buffer.extend_from_slice(&data);
    }
    Ok(buffer.freeze())
}

fn too_large(limit: u64) -> RefusalPage {
    RefusalPage::before_acceptance(RefusalReason::TooLarge)
        .with_detail(format!("at most {limit} bytes"))
}

fn read_failure(error: &std::io::Error) -> RefusalPage {
    let mut findings = Findings::new();
    findings.add("body:", error.to_string(), "a whole body");
    let page = RefusalPage::malformed(findings);
    match error.kind() {
        std::io::ErrorKind::TimedOut => page.with_status(StatusCode::REQUEST_TIMEOUT),
        _ => page,
    }
}
