//! Provides the bodies of answers to callers of the gateway.

use std::fmt;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use futures_util::Stream;
use futures_util::stream;
use http::{HeaderMap, HeaderValue, Response, StatusCode, header};
use hyper::body::{Body, Frame, SizeHint};
use tokio::task::yield_now;

use crate::answer::AnswerPart;
use crate::follower::AnswerFollower;

/// A `TruncatedAnswer` is the error that ends an incomplete body. The
/// connection is closed, so that the caller does not take the body for
/// complete.
#[derive(Debug)]
pub(crate) struct TruncatedAnswer;

impl fmt::Display for TruncatedAnswer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the answer is truncated")
    }
}

impl std::error::Error for TruncatedAnswer {}

type ChunkStream = Pin<Box<dyn Stream<Item = Result<Bytes, TruncatedAnswer>> + Send>>;

/// An `AnswerBody` is the body of an answer to a caller.
pub(crate) enum AnswerBody {
    /// A complete body; none once it has been sent.
    Buffered(Option<Bytes>),
    /// A body sent in chunks as they arrive.
    Streamed(ChunkStream),
}

impl AnswerBody {
    /// Get a body of the given bytes.
    pub(crate) fn buffered(bytes: Bytes) -> Self {
        AnswerBody::Buffered(Some(bytes).filter(|bytes| !bytes.is_empty()))
    }

    /// Get the body that streams the data of a followed answer.
    pub(crate) fn follow(follower: AnswerFollower) -> Self {
        let chunks = stream::unfold(Some(follower), |follower| async move {
            let mut follower = follower?;
            loop {
                return match follower.next().await {
                    AnswerPart::Head { .. } => continue,
                    AnswerPart::Data(bytes) => Some((Ok(bytes), Some(follower))),
                    AnswerPart::End => None,
                    AnswerPart::Refused(_) | AnswerPart::Forward(_) => {
                        // The error closes the connection at once, and a head and
                        // chunks still in its write buffer would be lost. Yielding
                        // first lets them be written.
                        yield_now().await;
                        Some((Err(TruncatedAnswer), None))
                    }
                };
            }
        });
        AnswerBody::Streamed(Box::pin(chunks))
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = TruncatedAnswer;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, TruncatedAnswer>>> {
        match self.get_mut() {
            AnswerBody::Buffered(bytes) => {
                Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes))))
            }
            AnswerBody::Streamed(chunks) => chunks
                .as_mut()
                .poll_next(cx)
                .map(|chunk| chunk.map(|chunk| chunk.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, AnswerBody::Buffered(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            AnswerBody::Buffered(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, Bytes::len) as u64)
            }
            AnswerBody::Streamed(_) => SizeHint::default(),
        }
    }
}

/// Get the answer with a target's status and header fields.
pub(crate) fn target_answer(
    status: u16,
    content_type: &str,
    fields: HeaderMap,
    body: AnswerBody,
) -> Response<AnswerBody> {
    let mut response = Response::new(body);
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    *response.headers_mut() = fields;
    if !content_type.is_empty()
        && let Ok(value) = HeaderValue::from_str(content_type)
    {
        response.headers_mut().insert(header::CONTENT_TYPE, value);
    }
    response
}
