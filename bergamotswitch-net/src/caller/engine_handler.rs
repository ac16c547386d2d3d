//! Provides the handler of requests to engines.

use std::sync::Arc;

use salvo::{Depot, FlowCtrl, Handler, Request, Response, async_trait};

use super::buffered_answer::{BufferedAnswer, begins_stream};
use super::context::CallerContext;
use super::early_answer::{early_events, needs_early_head};
use super::engine_body::CompletionForm;
use super::engine_check::{AnswerFormat, check_engine_call};
use super::event_stream::{answer_events, write_stream};
use super::fields::REQUEST_ID_FIELD;
use super::forward::{OriginalCall, forward_and_write};
use super::refusal_page::header_value;
use super::submit::{CheckedCall, SubmittedCall, submit};
use crate::answer::AnswerPart;
use crate::follower::{AnswerFollower, has_output};

/// An `EngineHandler` handles requests of one completion form to engines.
#[derive(Debug)]
pub(super) struct EngineHandler {
    context: Arc<CallerContext>,
    form: CompletionForm,
}

impl EngineHandler {
    /// Get the handler of a completion form.
    pub(super) fn new(context: &Arc<CallerContext>, form: CompletionForm) -> Self {
        EngineHandler {
            context: Arc::clone(context),
            form,
        }
    }

    async fn answer(&self, checked: CheckedCall, format: AnswerFormat, res: &mut Response) {
        if format.stream && needs_early_head(&checked.submission) {
            let events = early_events(Arc::clone(&self.context), checked, format.usage);
            write_stream(events, res);
            return;
        }
        let CheckedCall {
            submission,
            call,
            original,
        } = checked;
        let may_rerun = submission.may_rerun();
        match submit(&self.context, submission, call).await {
            SubmittedCall::Refused(page) => page.write(res),
            SubmittedCall::Remote(holder) => {
                forward_and_write(&self.context, &original, &holder, res).await;
            }
            SubmittedCall::Local(follower) => {
                let answer = self.follow(*follower, original, format, may_rerun, res);
                answer.await;
            }
        }
    }

    async fn follow(
        &self,
        mut follower: AnswerFollower,
        original: OriginalCall,
        format: AnswerFormat,
        may_rerun: bool,
        res: &mut Response,
    ) {
        let id = header_value(follower.id());
        res.headers_mut().insert(REQUEST_ID_FIELD, id);
        if format.stream && begins_stream(&follower.wait_first_part(has_output).await) {
            write_stream(answer_events(follower, format.usage), res);
            return;
        }
        let mut parts = follower.collect_parts().await;
        if let Some(AnswerPart::Forward(holder)) = parts.pop_if(|part| part.is_forward()) {
            forward_and_write(&self.context, &original.into_resubmission(), &holder, res).await;
            return;
        }
        let written = BufferedAnswer::from_parts(parts)
            .and_then(|answer| answer.write_completion(self.form, may_rerun, res));
        if let Err(page) = written {
            page.write(res);
        }
    }
}

#[async_trait]
impl Handler for EngineHandler {
    async fn handle(
        &self,
        req: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        match check_engine_call(&self.context, self.form, req).await {
            Ok((checked, format)) => self.answer(checked, format, res).await,
            Err(page) => self.context.reject(&page, res),
        }
    }
}
