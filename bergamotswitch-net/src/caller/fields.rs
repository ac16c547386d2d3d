//! Provides the header fields of callers' requests and their validation.

use std::time::Duration;

use bergamotswitch_core::error::Findings;
use bergamotswitch_core::host::HostIncarnation;
use bergamotswitch_core::request::CallerKey;
use bergamotswitch_core::rules::{Verdict, WorkKind};
use http::{HeaderMap, HeaderName, header};

/// The idempotency key that the caller gave its request.
pub(super) const IDEMPOTENCY_KEY_FIELD: HeaderName = HeaderName::from_static("idempotency-key");
/// The incarnation of the host that holds the request.
pub(super) const INCARNATION_FIELD: HeaderName = HeaderName::from_static("bergamot-incarnation");
/// The id of the request, in answers.
pub(super) const REQUEST_ID_FIELD: HeaderName = HeaderName::from_static("bergamot-request");
/// Whether the caller has sent the request before.
pub(super) const RESUBMISSION_FIELD: HeaderName = HeaderName::from_static("bergamot-resubmission");
/// The time after which the answer is of no use to the caller, in milliseconds
/// from now.
pub(super) const DEADLINE_FIELD: HeaderName = HeaderName::from_static("bergamot-deadline-ms");
/// The kind of work that the caller declares.
pub(super) const WORK_FIELD: HeaderName = HeaderName::from_static("bergamot-work");
/// `false` forbids running the request a second time.
pub(super) const IDEMPOTENT_FIELD: HeaderName = HeaderName::from_static("bergamot-idempotent");
/// `true` forbids dispatching the request a second time.
pub(super) const DISPATCH_ONCE_FIELD: HeaderName =
    HeaderName::from_static("bergamot-dispatch-once");
/// Present if another host forwarded the request.
pub(super) const FORWARDED_FIELD: HeaderName = HeaderName::from_static("bergamot-forwarded");
/// `false` keeps common client libraries from retrying automatically.
pub(super) const SHOULD_RETRY_FIELD: HeaderName = HeaderName::from_static("x-should-retry");

const BEARER_SCHEME: &str = "bearer";

/// A `CallerDeadline` is the deadline that the caller sets.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum CallerDeadline {
    /// No deadline of its own: that of the rule applies.
    #[default]
    Absent,
    /// The deadline is this far ahead.
    Within(Duration),
    /// The deadline has passed.
    Passed,
}

/// A `CallerFields` holds the validated header fields of a request, without its
/// bearer key.
#[derive(Clone, Debug, Default)]
pub(super) struct CallerFields {
    /// The idempotency key.
    pub(super) key: Option<CallerKey>,
    /// The host incarnation that the caller names as the holder of its request.
    pub(super) holder: Option<HostIncarnation>,
    /// Whether the caller marked the request as a resubmission.
    pub(super) resubmission: bool,
    /// The deadline.
    pub(super) deadline: CallerDeadline,
    /// The kind of work that the caller declares.
    pub(super) work: Option<WorkKind>,
    /// Whether the caller forbids a second run.
    pub(super) forbids_rerun: bool,
    /// Whether the caller forbids a second dispatch.
    pub(super) dispatch_once: bool,
    /// Whether another host forwarded the request.
    pub(super) forwarded: bool,
}

impl CallerFields {
    /// Read the fields of `headers`, and add findings about invalid ones to
    /// `findings`.
    pub(super) fn read(headers: &HeaderMap, findings: &mut Findings) -> Self {
        let mut reader = FieldReader { headers, findings };
        CallerFields {
            key: reader.parsed(&IDEMPOTENCY_KEY_FIELD, |text| {
                CallerKey::try_from(text.to_owned())
            }),
            holder: reader.parsed(&INCARNATION_FIELD, HostIncarnation::try_from),
            resubmission: reader.flag(&RESUBMISSION_FIELD).unwrap_or(false),
            deadline: reader.deadline(),
            work: reader.parsed(&WORK_FIELD, WorkKind::try_from),
            forbids_rerun: reader.flag(&IDEMPOTENT_FIELD) == Some(false),
            dispatch_once: reader.flag(&DISPATCH_ONCE_FIELD).unwrap_or(false),
            forwarded: headers.contains_key(FORWARDED_FIELD),
        }
    }

    /// Get the verdict restricted by the caller's fields. A caller cannot relax
    /// the operators' rule.
    pub(super) fn tighten(&self, mut verdict: Verdict) -> Verdict {
        verdict.idempotent &= !self.forbids_rerun;
        verdict.dispatch_once |= self.dispatch_once;
        if let CallerDeadline::Within(span) = self.deadline {
            verdict.deadline = verdict.deadline.min(span);
        }
        verdict
    }
}

/// Get the bearer key of a request.
pub(super) fn bearer_key(headers: &HeaderMap) -> Option<&str> {
    let text = headers.get(header::AUTHORIZATION)?.to_str().ok()?;
    let (scheme, key) = text.split_once(' ')?;
    match scheme.eq_ignore_ascii_case(BEARER_SCHEME) {
        true => Some(key.trim()),
        false => None,
    }
}

struct FieldReader<'a> {
    headers: &'a HeaderMap,
    findings: &'a mut Findings,
}

impl<'a> FieldReader<'a> {
    /// Get the text of a field. A repeated field is refused, because two hosts
    /// could each use a different one of its values.
    fn text(&mut self, name: &HeaderName) -> Option<&'a str> {
        let mut values = self.headers.get_all(name).iter();
        let value = values.next()?;
        if values.next().is_some() {
            self.add(name, "the field twice", "the field once");
            return None;
        }
        match value.to_str() {
            Ok(text) => Some(text.trim()),
            Err(_) => {
                self.add(name, "other bytes", "visible ASCII characters");
                None
            }
        }
    }

    fn parsed<T, E>(
        &mut self,
        name: &HeaderName,
        parse: impl Fn(&'a str) -> Result<T, E>,
    ) -> Option<T>
    where
        E: std::fmt::Display,
    {
        let text = self.text(name)?;
        match parse(text) {
            Ok(value) => Some(value),
            Err(error) => {
                self.add(name, &format!("{text:?}"), &error.to_string());
                None
            }
        }
    }

    fn flag(&mut self, name: &HeaderName) -> Option<bool> {
        match self.text(name)? {
            "true" => Some(true),
            "false" => Some(false),
            other => {
                self.add(name, &format!("{other:?}"), "true or false");
                None
            }
        }
    }

    fn deadline(&mut self) -> CallerDeadline {
        let Some(text) = self.text(&DEADLINE_FIELD) else {
            return CallerDeadline::Absent;
        };
        match text.parse::<i64>() {
            Ok(millis) => match u64::try_from(millis) {
                Ok(millis) if millis > 0 => CallerDeadline::Within(Duration::from_millis(millis)),
                Ok(_) | Err(_) => CallerDeadline::Passed,
            },
            Err(_) => {
                let found = format!("{text:?}");
                self.add(&DEADLINE_FIELD, &found, "a whole number of milliseconds");
                CallerDeadline::Absent
            }
        }
    }

    fn add(&mut self, name: &HeaderName, found: &str, allowed: &str) {
        self.findings.add(format!("header:{name}"), found, allowed);
    }
}
