//! Provides the decisions about a target's answer: to which request it belongs, whether it
//! proves that the request did not run, whether it is complete, and whether it may be passed
//! on to the caller.

/// An `AnswerId` is what an answer's request id says about the request it belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerId {
    /// The answer names the request.
    Matching,
    /// The answer names another request, or more than one.
    Foreign,
    /// The answer names no request.
    Missing,
}

impl AnswerId {
    /// Compare the ids that an answer names with that of the request.
    pub fn compare<'a>(mut named: impl Iterator<Item = &'a [u8]>, request_id: &[u8]) -> Self {
        match (named.next(), named.next()) {
            (None, _) => AnswerId::Missing,
            (Some(id), None) if id == request_id => AnswerId::Matching,
            (Some(_), _) => AnswerId::Foreign,
        }
    }

    /// Get whether the answer is the one to the request. Without an id it may be a late
    /// copy of an earlier answer, unless its connection has carried no other request.
    pub fn belongs(self, connection: ConnectionUse) -> bool {
        match self {
            AnswerId::Matching => true,
            AnswerId::Missing => connection == ConnectionUse::First,
            AnswerId::Foreign => false,
        }
    }
}

/// A `ConnectionUse` is whether a connection has carried requests before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionUse {
    /// The request is the first one on its connection.
    First,
    /// Other requests were answered on the connection before.
    Later,
}

/// An `AnswerHead` is what the head of an answer states.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnswerHead {
    /// Which request it names.
    pub id: AnswerId,
    /// Whether it has the target's signature.
    pub is_signed: bool,
    /// Whether it states that the target did not run the request.
    pub is_rejection: bool,
    /// Whether its status tells a caller that the request did not run.
    pub denies_run: bool,
}

/// An `AnswerUse` is what a host may make of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerUse {
    /// It belongs to another request, so nothing in it is believed.
    Foreign,
    /// It proves that the request did not run.
    Rejection,
    /// It is not known to come from the target. The request may have run.
    Unproven,
    /// The target failed and the request may have run, but the status would tell a caller
    /// that it did not.
    Withheld,
    /// It may be passed on to the caller.
    Passed,
}

impl AnswerHead {
    /// Get what may be made of the answer, given the use of its connection.
    pub fn answer_use(self, connection: ConnectionUse) -> AnswerUse {
        if !self.id.belongs(connection) {
            return AnswerUse::Foreign;
        }
        if self.is_rejection {
            return AnswerUse::Rejection;
        }
        // An answer that lacks the target's signature comes from an intermediary.
        if self.id != AnswerId::Matching || !self.is_signed {
            return AnswerUse::Unproven;
        }
        match self.denies_run {
            true => AnswerUse::Withheld,
            false => AnswerUse::Passed,
        }
    }
}

/// The maximum number of rejected requests in a history.
const MAX_REJECTED: usize = 16;

/// A `ConnectionHistory` is the requests that a connection has carried. A late copy of a
/// rejection names the same request as the answer to another attempt of it, so that
/// attempt needs a connection on which the request was not rejected.
#[derive(Clone, Debug, Default)]
pub struct ConnectionHistory {
    is_used: bool,
    rejected: Vec<Box<str>>,
}

impl ConnectionHistory {
    /// Record that a request was answered.
    pub fn record_answer(&mut self) {
        self.is_used = true;
    }

    /// Record that a request was rejected.
    pub fn record_rejection(&mut self, request_id: &str) {
        self.is_used = true;
        self.rejected.push(request_id.into());
    }

    /// Get whether the connection has carried requests.
    pub fn connection_use(&self) -> ConnectionUse {
        match self.is_used {
            true => ConnectionUse::Later,
            false => ConnectionUse::First,
        }
    }

    /// Get whether an answer that names this request can only be the one to its next
    /// attempt.
    pub fn allows(&self, request_id: &str) -> bool {
        self.rejected.iter().all(|id| **id != *request_id)
    }

    /// Get whether no further rejection can be recorded.
    pub fn is_full(&self) -> bool {
        self.rejected.len() >= MAX_REJECTED
    }
}

/// An `AnswerFraming` is how the end of an answer's body is marked (RFC 9112, section 6.3).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerFraming {
    /// The answer has no body and ends with its head.
    Bodiless,
    /// By a length or by the last chunk, so that a truncated body is recognized.
    Delimited,
    /// By the end of the connection, so that a truncated body may look complete.
    ConnectionEnd,
    /// By nothing known: the bytes have a transfer coding that is not decoded.
    Unsupported,
}

impl AnswerFraming {
    /// Get the framing of an answer from its `Transfer-Encoding` fields. They override a
    /// length.
    pub fn of<'a>(
        may_have_body: bool,
        has_length: bool,
        mut codings: impl Iterator<Item = &'a [u8]>,
    ) -> Self {
        if !may_have_body {
            return AnswerFraming::Bodiless;
        }
        match (codings.next(), codings.next()) {
            (None, _) if has_length => AnswerFraming::Delimited,
            (None, _) => AnswerFraming::ConnectionEnd,
            (Some(coding), None) if is_chunked(coding) => AnswerFraming::Delimited,
            (Some(_), _) => AnswerFraming::Unsupported,
        }
    }

    /// Get whether a truncated answer is distinguishable from a complete one.
    pub fn has_marked_end(self) -> bool {
        matches!(self, AnswerFraming::Bodiless | AnswerFraming::Delimited)
    }

    /// Get whether an answer whose body ended without an error is whole. A stream has
    /// content once it has a complete event. An answer without content that ends with its
    /// connection may have been cut after its head.
    pub fn is_whole(self, has_content: bool) -> bool {
        match self {
            AnswerFraming::Bodiless | AnswerFraming::Delimited => true,
            AnswerFraming::ConnectionEnd => has_content,
            AnswerFraming::Unsupported => false,
        }
    }
}

fn is_chunked(coding: &[u8]) -> bool {
    coding.trim_ascii().eq_ignore_ascii_case(b"chunked")
}
