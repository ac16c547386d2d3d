//! Provides answers with one body, for callers that did not request a stream.

use bergamotswitch_core::refusal::{Refusal, RefusalReason};
use bytes::{Bytes, BytesMut};
use http::{HeaderMap, HeaderValue, StatusCode, header};
use salvo::Response;

use super::assembly::{AssemblyError, CompletionAssembly};
use super::engine_body::CompletionForm;
use super::event_stream::EVENT_STREAM_TYPE;
use super::refusal_page::{JSON_TYPE, RefusalPage, forbid_retry};
use crate::answer::AnswerPart;

/// A `BufferedAnswer` is the complete answer of a target.
#[derive(Debug)]
pub(super) struct BufferedAnswer {
    status: StatusCode,
    content_type: String,
    fields: HeaderMap,
    chunks: Vec<Bytes>,
}

impl BufferedAnswer {
    /// Try to build the answer from all of its parts.
    ///
    /// # Errors
    ///
    /// Returns the refusal that ends the parts, or one for an incomplete
    /// answer.
    pub(super) fn from_parts(parts: Vec<AnswerPart>) -> Result<Self, RefusalPage> {
        let mut answer = BufferedAnswer {
            status: StatusCode::OK,
            content_type: EVENT_STREAM_TYPE.to_owned(),
            fields: HeaderMap::new(),
            chunks: Vec::new(),
        };
        for part in parts {
            match part {
                AnswerPart::Head {
                    status,
                    content_type,
                    fields,
                } => {
                    answer.status = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
                    answer.content_type = content_type;
                    answer.fields = fields;
                }
                AnswerPart::Data(data) => answer.chunks.push(data),
                AnswerPart::End => return Ok(answer),
                AnswerPart::Refused(refusal) => return Err(RefusalPage::new(refusal)),
                AnswerPart::Forward(_) => break,
            }
        }
        // An answer without an end part is incomplete, whatever parts it has.
        Err(incomplete_answer("it has no end"))
    }

    /// Get whether this is a successful stream of an engine.
    fn is_stream(&self) -> bool {
        is_engine_stream(self.status.as_u16(), &self.content_type)
    }

    fn body(&self) -> Bytes {
        let mut body = BytesMut::new();
        for chunk in &self.chunks {
            body.extend_from_slice(chunk);
        }
        body.freeze()
    }

    /// Get the body as text.
    pub(super) fn text(&self) -> String {
        String::from_utf8_lossy(&self.body()).into_owned()
    }

    /// Write the answer as the target sent it.
    pub(super) fn write_plain(self, may_rerun: bool, res: &mut Response) {
        let is_error = self.status.is_client_error() || self.status.is_server_error();
        if is_error && !may_rerun {
            forbid_retry(res);
        }
        res.body(self.body());
        res.status_code(self.status);
        res.headers_mut().extend(self.fields);
        if let Ok(content_type) = HeaderValue::try_from(self.content_type) {
            res.headers_mut().insert(header::CONTENT_TYPE, content_type);
        }
    }

    /// Try to write the answer as one completion. An engine's error response is
    /// written unchanged.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the engine's chunks do not form a completion.
    pub(super) fn write_completion(
        self,
        form: CompletionForm,
        may_rerun: bool,
        res: &mut Response,
    ) -> Result<(), RefusalPage> {
        if !self.is_stream() {
            self.write_plain(may_rerun, res);
            return Ok(());
        }
        let completion =
            assemble(form, &self.chunks).map_err(|error| incomplete_answer(&error.to_string()))?;
        let content_type = HeaderValue::from_static(JSON_TYPE);
        res.headers_mut().insert(header::CONTENT_TYPE, content_type);
        res.status_code(StatusCode::OK);
        res.body(completion);
        Ok(())
    }
}

/// Get whether the first part of an answer belongs to an engine's stream.
pub(super) fn begins_stream(first: &AnswerPart) -> bool {
    match first {
        AnswerPart::Head {
            status,
            content_type,
            ..
        } => is_engine_stream(*status, content_type),
        AnswerPart::Data(_) => true,
        AnswerPart::End | AnswerPart::Refused(_) | AnswerPart::Forward(_) => false,
    }
}

/// Get whether the status and content type are those of an engine's stream, and
/// not of its error response.
pub(super) fn is_engine_stream(status: u16, content_type: &str) -> bool {
    status == StatusCode::OK.as_u16() && content_type.starts_with(EVENT_STREAM_TYPE)
}

fn assemble(form: CompletionForm, chunks: &[Bytes]) -> Result<String, AssemblyError> {
    let mut assembly = CompletionAssembly::new(form);
    for chunk in chunks {
        assembly.add(chunk)?;
    }
    let completion = assembly.finish()?;
    Ok(completion.to_string())
}

fn incomplete_answer(detail: &str) -> RefusalPage {
    let refusal = Refusal::may_have_run(RefusalReason::TargetFailed);
    RefusalPage::new(refusal).with_detail(detail)
}
