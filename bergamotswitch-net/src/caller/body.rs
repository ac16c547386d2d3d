//! Provides the reading of callers' bodies under a limit.

use bergamotswitch_core::error::Findings;
use bergamotswitch_core::refusal::RefusalReason;
use bytes::{Bytes, BytesMut};
use http::StatusCode;
use http_body_util::BodyExt;
use hyper::body::Body;
use salvo::Request;

use super::refusal_page::RefusalPage;

/// Try to read the whole body of a request. At no time more than `limit`
/// bytes of it are kept. Other callers don't wait meanwhile.
///
/// # Errors
///
/// Returns a refusal where the body is longer than `limit`, known from its
/// announced length or while it is read, and where it broke off.
pub(super) async fn read_body(req: &mut Request, limit: u64) -> Result<Bytes, RefusalPage> {
    let mut body = req.take_body();
    let announced = body.size_hint().lower();
    if announced > limit {
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
