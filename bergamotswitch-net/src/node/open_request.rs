//! Provides the requests whose answers are buffered by this host.

use std::collections::HashMap;

use bergamotswitch_core::request::RequestId;

use super::request_log::RequestLog;
use crate::answer::{AnswerBound, AnswerReader, AnswerWriter};
use crate::input::{NodeSender, OutgoingCall};

/// An `OpenRequest` holds the data of a request that the state machines do not
/// need: the call to send, its answer and the number of callers that follow it.
pub(super) struct OpenRequest {
    /// The call to a target; dropped when the request ends.
    pub call: Option<OutgoingCall>,
    pub answer: AnswerWriter,
    /// The data for the log lines about the request.
    pub log: RequestLog,
    followers: usize,
}

/// An `OpenRequests` is the set of requests whose answers are buffered by this
/// host.
pub(super) struct OpenRequests {
    requests: HashMap<RequestId, OpenRequest>,
    max_answer_bytes: usize,
    node: NodeSender,
}

impl OpenRequests {
    pub fn new(max_answer_bytes: u64, node: NodeSender) -> Self {
        OpenRequests {
            requests: HashMap::new(),
            max_answer_bytes: max_answer_bytes as usize,
            node,
        }
    }

    /// Set the size limit for the answers of future requests.
    pub fn set_max_answer_bytes(&mut self, bytes: u64) {
        self.max_answer_bytes = bytes as usize;
    }

    pub fn open(&mut self, id: RequestId, call: OutgoingCall, log: RequestLog) -> AnswerReader {
        let answer = AnswerWriter::bounded(AnswerBound {
            bytes: self.max_answer_bytes,
            request: id,
            node: self.node.clone(),
        });
        let reader = answer.reader();
        let request = OpenRequest {
            call: Some(call),
            answer,
            log,
            followers: 1,
        };
        self.requests.insert(id, request);
        reader
    }

    /// Add a caller that reads the answer from its start.
    pub fn attach(&mut self, id: RequestId) -> Option<AnswerReader> {
        let request = self.requests.get_mut(&id)?;
        request.followers += 1;
        Some(request.answer.reader())
    }

    /// Remove a caller and get whether it was the last one.
    pub fn detach(&mut self, id: RequestId) -> bool {
        let Some(request) = self.requests.get_mut(&id) else {
            return false;
        };
        request.followers = request.followers.saturating_sub(1);
        request.followers == 0
    }

    pub fn get_mut(&mut self, id: RequestId) -> Option<&mut OpenRequest> {
        self.requests.get_mut(&id)
    }

    pub fn get(&self, id: RequestId) -> Option<&OpenRequest> {
        self.requests.get(&id)
    }

    /// Get the requests that have not ended, in arbitrary order.
    pub fn live(&self) -> impl Iterator<Item = (RequestId, &OpenRequest)> {
        let requests = self.requests.iter();
        let live = requests.filter(|(_, request)| request.call.is_some());
        live.map(|(id, request)| (*id, request))
    }

    /// Drop the call of a request that has ended; its answer is kept.
    pub fn end(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.call = None;
        }
    }

    pub fn remove(&mut self, id: RequestId) {
        self.requests.remove(&id);
    }
}
