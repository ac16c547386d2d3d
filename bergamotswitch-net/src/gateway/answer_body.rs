//! Provides the bodies of answers to callers.

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

/// A `TruncatedAnswer` ends a body that is not whole. The connection is cut, so
/// that what came cannot be taken for all of it.
#[derive(Debug)]
pub(crate) struct TruncatedAnswer;

impl fmt::Display for TruncatedAnswer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the answer broke off")
    }
}

impl std::error::Error for TruncatedAnswer {}

type ChunkStream = Pin<Box<dyn Stream<Item = Result<Bytes, TruncatedAnswer>> + Send>>;

/// An `AnswerBody` is the body of an answer to a caller.
pub(crate) enum AnswerBody {
    /// All of it.
    Buffered(Option<Bytes>),
    /// Pieces as they come.
    Streamed(ChunkStream),
}

impl AnswerBody {
    /// Get the body that is these bytes.
    pub(crate) fn buffered(bytes: Bytes) -> Self {
        AnswerBody::Buffered(Some(bytes).filter(|bytes| !bytes.is_empty()))
    }

    /// Get the body that follows an answer.
    pub(crate) fn follow(follower: AnswerFollower) -> Self {
        let chunks = stream::unfold(Some(follower), |follower| async move {
            let mut follower = follower?;
            loop {
                return match follower.next().await {
                    AnswerPart::Head { .. } => continue,
                    AnswerPart::Data(bytes) => Some((Ok(bytes), Some(follower))),
                    AnswerPart::End => None,
                    AnswerPart::Refused(_) | AnswerPart::Forward(_) => {
                        // The connection is cut at once by an error, with the
                        // head and the pieces that are still in its buffer: a
                        // caller whose answer breaks off right behind them would
                        // see none of it. A pause has them written first.
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

/// Get the answer with a target's status and fields.
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
