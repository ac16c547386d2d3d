//! Provides the handling of requests to engines.

use std::sync::Arc;

use salvo::{Depot, FlowCtrl, Handler, Request, Response, async_trait};

use super::desk::CallerContext;
use super::early_answer::{early_events, needs_early_head};
use super::engine_body::CompletionForm;
use super::engine_check::{AnswerWish, check_engine_call};
use super::event_stream::{answer_events, write_stream};
use super::fields::REQUEST_FIELD;
use super::forward::{OriginalCall, forward_back};
use super::reception::{CheckedCall, HandedOver, hand_over};
use super::refusal_page::text_value;
use super::whole_answer::{WholeAnswer, begins_stream};
use crate::answer::AnswerPart;
use crate::follower::{AnswerFollower, has_output};

/// An `EngineCall` handles one form of requests to engines.
#[derive(Debug)]
pub(super) struct EngineCall {
    desk: Arc<CallerContext>,
    form: CompletionForm,
}

impl EngineCall {
    /// Get the handler of one form.
    pub(super) fn new(desk: &Arc<CallerContext>, form: CompletionForm) -> Self {
        EngineCall {
            desk: Arc::clone(desk),
            form,
        }
    }

    async fn answer(&self, checked: CheckedCall, wish: AnswerWish, res: &mut Response) {
        if wish.stream && needs_early_head(&checked.submission) {
            let events = early_events(Arc::clone(&self.desk), checked, wish.usage);
            write_stream(events, res);
            return;
        }
        let CheckedCall {
            submission,
            call,
            original,
        } = checked;
        match hand_over(&self.desk, submission, call).await {
            HandedOver::Refused(page) => page.write(res),
            HandedOver::Elsewhere(holder) => {
                forward_back(&self.desk, &original, &holder, res).await;
            }
            HandedOver::Here(follower) => self.follow(*follower, original, wish, res).await,
        }
    }

    async fn follow(
        &self,
        mut follower: AnswerFollower,
        original: OriginalCall,
        wish: AnswerWish,
        res: &mut Response,
    ) {
        let id = text_value(follower.id());
        res.headers_mut().insert(REQUEST_FIELD, id);
        if wish.stream && begins_stream(&follower.begun(has_output).await) {
            write_stream(answer_events(follower, wish.usage), res);
            return;
        }
        let mut parts = follower.whole().await;
        if let Some(AnswerPart::Forward(holder)) = parts.pop_if(|part| part.is_forward()) {
            forward_back(&self.desk, &original.seen_before(), &holder, res).await;
            return;
        }
        let written = WholeAnswer::from_parts(parts)
            .and_then(|answer| answer.write_completion(self.form, res));
        if let Err(page) = written {
            page.write(res);
        }
    }
}

#[async_trait]
impl Handler for EngineCall {
    async fn handle(
        &self,
        req: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        match check_engine_call(&self.desk, self.form, req).await {
            Ok((checked, wish)) => self.answer(checked, wish, res).await,
            Err(page) => self.desk.turn_away(&page, res),
        }
    }
}
