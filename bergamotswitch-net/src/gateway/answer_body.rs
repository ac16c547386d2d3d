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

/// A `BrokenAnswer` ends a body that is not whole. The connection is cut, so
/// that what came cannot be taken for all of it.
#[derive(Debug)]
pub(crate) struct BrokenAnswer;

impl fmt::Display for BrokenAnswer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the answer broke off")
    }
}

impl std::error::Error for BrokenAnswer {}

type Pieces = Pin<Box<dyn Stream<Item = Result<Bytes, BrokenAnswer>> + Send>>;

/// An `AnswerBody` is the body of an answer to a caller.
pub(crate) enum AnswerBody {
    /// All of it.
    Whole(Option<Bytes>),
    /// Pieces as they come.
    Pieces(Pieces),
}

impl AnswerBody {
    /// Get the body that is these bytes.
    pub(crate) fn whole(bytes: Bytes) -> Self {
        AnswerBody::Whole(Some(bytes).filter(|bytes| !bytes.is_empty()))
    }

    /// Get the body that follows an answer.
    pub(crate) fn follow(follower: AnswerFollower) -> Self {
        let pieces = stream::unfold(Some(follower), |follower| async move {
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
                        Some((Err(BrokenAnswer), None))
                    }
                };
            }
        });
        AnswerBody::Pieces(Box::pin(pieces))
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = BrokenAnswer;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenAnswer>>> {
        match self.get_mut() {
            AnswerBody::Whole(bytes) => {
                Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes))))
            }
            AnswerBody::Pieces(pieces) => pieces
                .as_mut()
                .poll_next(cx)
                .map(|piece| piece.map(|piece| piece.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, AnswerBody::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            AnswerBody::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, Bytes::len) as u64)
            }
            AnswerBody::Pieces(_) => SizeHint::default(),
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
