//! Provides the checks of the service guarantees, based on what callers and
//! targets observed.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use bergamotswitch_standin::gateway_target::{RecordedCall, event_text};
use http::StatusCode;

use super::callers::{CallEnd, CallKind, CallRecord, ObservedResponse, body_of};
use super::domains::{overrun_cold, sent_to_evacuated};
use super::stops::lost_at_stop;
use super::{SoakWorld, overlaps};
use crate::users::REVOKE_MS;

/// How long a host and the store must have been free of faults before a time
/// bound applies.
const SETTLE_TIME: Duration = Duration::from_secs(3);
/// The longest time until a published configuration takes effect.
const APPLY_BOUND: Duration = Duration::from_secs(2);
/// The longest time until a draining target gets no new calls.
const DRAIN_BOUND: Duration = Duration::from_secs(2);
/// The allowance for delays in the test itself.
pub const SLACK: Duration = Duration::from_millis(400);
/// The body of failures of targets.
const FAILURE_TEXT: &str = "failed";
/// The percentage of calls that must be served after recovery.
const MIN_SERVED_PERCENT: usize = 90;

/// A `TargetRun` is one execution of a call, started by a target.
pub struct TargetRun {
    pub target: usize,
    pub call: RecordedCall,
}

/// Get whether a caller received a complete response with status 200.
pub fn is_served(call: &CallRecord) -> bool {
    match &call.end {
        CallEnd::Answered(response) => response.status == StatusCode::OK && response.whole,
        CallEnd::NoConnection | CallEnd::Closed | CallEnd::TimedOut => false,
    }
}

/// Get a description of each violated guarantee.
pub fn find_problems(world: &SoakWorld) -> Vec<String> {
    let mut problems = world.problems.borrow().clone();
    let calls = world.calls.borrow();
    let runs = target_runs(world);
    let known: HashMap<&str, &CallRecord> =
        calls.iter().map(|call| (call.id.as_str(), call)).collect();
    for call in calls.iter() {
        let none = Vec::new();
        let own = runs.get(&call.id).unwrap_or(&none);
        let found = [
            excess_runs(call, own),
            rejected_but_run(call, own),
            wrong_response(call),
            wrongly_denied(world, call),
            past_deadline(world, call),
            lost_at_stop(world, call, own),
        ];
        problems.extend(found.into_iter().flatten());
    }
    for (id, own) in &runs {
        for run in own {
            let found = match known.get(id.as_str()) {
                Some(call) => [
                    altered_request(call, run),
                    revoked_key_used(world, call, run),
                    removed_route_used(world, call, run),
                    sent_after_drain(world, call, run),
                    sent_after_notice(world, &calls, call, run),
                    sent_to_evacuated(world, call.host, run),
                ],
                None => [
                    Some(format!("UNASKED: no caller sent {id}")),
                    None,
                    None,
                    None,
                    None,
                    None,
                ],
            };
            problems.extend(found.into_iter().flatten());
        }
    }
    problems.extend(overrun_cold(world, &runs));
    problems.extend(not_recovered(world, &calls));
    problems
}

/// Get the executions at all targets by request id.
fn target_runs(world: &SoakWorld) -> HashMap<String, Vec<TargetRun>> {
    let mut runs: HashMap<String, Vec<TargetRun>> = HashMap::new();
    for (target, each) in world.targets.iter().enumerate() {
        let ran = each.target.calls().into_iter().filter(|call| call.ran);
        for call in ran {
            let id = call.field("request-id").to_owned();
            runs.entry(id).or_default().push(TargetRun { target, call });
        }
    }
    runs
}

/// Check that a call ran no more often than its kind allows.
fn excess_runs(call: &CallRecord, runs: &[TargetRun]) -> Option<String> {
    let bound = if call.kind.is_idempotent() { 2 } else { 1 };
    let count = runs.len();
    (count > bound).then(|| format!("TWICE or BUDGET: {count} runs of {call:?}"))
}

/// Check that a call rejected with a status that promises so never ran at a target.
fn rejected_but_run(call: &CallRecord, runs: &[TargetRun]) -> Option<String> {
    let CallEnd::Answered(response) = &call.end else {
        return None;
    };
    let must_not_run = matches!(response.status.as_u16(), 408 | 421 | 429 | 503);
    let broken = must_not_run && !runs.is_empty();
    broken.then(|| format!("REFUSED: {call:?} ran"))
}

/// Check that a response belongs to its call and matches what the target sends.
fn wrong_response(call: &CallRecord) -> Option<String> {
    let CallEnd::Answered(response) = &call.end else {
        return None;
    };
    if !response.id.is_empty() && response.id != call.id {
        return Some(format!("MIXED: response to another call: {call:?}"));
    }
    if !response.status.is_success() {
        let altered = !response.seal.is_empty() && response.body != FAILURE_TEXT;
        return altered.then(|| format!("MIXED: altered failure: {call:?}"));
    }
    let right = match call.kind.is_stream() {
        true => is_expected_stream(response, call.work.events),
        false => is_expected_text(response),
    };
    (!right).then(|| format!("MIXED or ORDER: {call:?}"))
}

fn is_expected_stream(response: &ObservedResponse, events: u32) -> bool {
    let expected: String = (1..=events).map(event_text).collect();
    let right = match response.whole {
        true => response.body == expected,
        // The truncated body may be empty.
        false => expected.starts_with(&response.body),
    };
    right && response.seal.starts_with("seal-of-drafting")
}

fn is_expected_text(response: &ObservedResponse) -> bool {
    let name = response.seal.strip_prefix("seal-of-").unwrap_or("nobody");
    let text = format!("from {name}");
    match response.whole {
        true => response.body == text,
        false => text.starts_with(&response.body),
    }
}

/// Check that an allowed call is not denied with 401 or 404.
fn wrongly_denied(world: &SoakWorld, call: &CallRecord) -> Option<String> {
    let CallEnd::Answered(response) = &call.end else {
        return None;
    };
    if !response.seal.is_empty() {
        return None;
    }
    let broken = match response.status {
        StatusCode::NOT_FOUND if call.kind == CallKind::Added => {
            let routes = world.routes.borrow();
            let route = routes
                .iter()
                .find(|route| call.path.starts_with(&route.prefix));
            let late = route.is_some_and(|route| {
                let removed = route.removed.is_some_and(|removed| call.ended > removed);
                !removed && call.sent > route.published + APPLY_BOUND + SLACK
            });
            late && is_settled(world, call.host, call.sent, call.ended)
        }
        StatusCode::NOT_FOUND => true,
        StatusCode::UNAUTHORIZED => !call.second_key,
        _ => false,
    };
    broken.then(|| format!("DENIED or CONFIG: {call:?}"))
}

/// Check that an undisturbed host ends a call by its deadline.
fn past_deadline(world: &SoakWorld, call: &CallRecord) -> Option<String> {
    let late = call.ended.duration_since(call.sent) > call.work.deadline + SLACK;
    let undisturbed = !world.is_disturbed(call.host, settle_start(call.sent), call.ended);
    (late && undisturbed).then(|| format!("CONFIG: held beyond its deadline: {call:?}"))
}

/// Check that a target received a call as its caller sent it.
fn altered_request(call: &CallRecord, run: &TargetRun) -> Option<String> {
    let seen = &run.call;
    let deadline: u128 = seen.field("deadline-ms").parse().unwrap_or(u128::MAX);
    let right = seen.request_line == format!("POST {}", call.path)
        && seen.body == body_of(&call.id).as_bytes()
        && seen.field("tenant") == "company"
        && seen.field("hold").is_empty()
        && seen.field("authorization").is_empty()
        && deadline <= call.work.deadline.as_millis()
        && service_of_call(call) == service_of_run(run);
    (!right).then(|| format!("UNASKED, ROUTE or BUDGET: {call:?} came as {seen:?}"))
}

fn service_of_call(call: &CallRecord) -> usize {
    usize::from(!call.kind.is_stream())
}

/// Get the index of a target's service: services alternate over the targets.
fn service_of_run(run: &TargetRun) -> usize {
    run.target % 2
}

/// Check that a revoked key is no longer accepted at any host.
fn revoked_key_used(world: &SoakWorld, call: &CallRecord, run: &TargetRun) -> Option<String> {
    if !call.second_key {
        return None;
    }
    let bound = Duration::from_millis(REVOKE_MS);
    let revocations = world.revocations.borrow();
    let broken = revocations.iter().any(|revocation| {
        let until = revocation.until.unwrap_or(call.ended + SETTLE_TIME);
        call.sent > revocation.from + bound && run.call.received_at < until
    });
    broken.then(|| format!("CONFIG: a revoked key works: {call:?}"))
}

/// Check that a removed route is no longer served.
fn removed_route_used(world: &SoakWorld, call: &CallRecord, run: &TargetRun) -> Option<String> {
    let routes = world.routes.borrow();
    let mut own = routes
        .iter()
        .filter(|route| call.path.starts_with(&route.prefix));
    let removed = own.next()?.removed?;
    let late = call.sent > removed + APPLY_BOUND + SLACK;
    let broken = late && is_settled(world, call.host, removed, run.call.received_at);
    broken.then(|| format!("CONFIG: a removed route works: {call:?}"))
}

/// Check that a departing target gets no new calls.
fn sent_after_drain(world: &SoakWorld, call: &CallRecord, run: &TargetRun) -> Option<String> {
    let at = run.call.received_at;
    let departures = world.departures.borrow();
    let departure = departures.iter().find(|departure| {
        let until = departure.until.unwrap_or(at);
        departure.target == run.target && at > departure.from + DRAIN_BOUND + SLACK && at < until
    })?;
    let undisturbed = is_settled(world, call.host, departure.from, at);
    undisturbed.then(|| format!("DRAIN: {call:?} at target {}", run.target))
}

/// Check that a target gets no calls of a host that has passed on that it leaves.
fn sent_after_notice(
    world: &SoakWorld,
    calls: &[CallRecord],
    call: &CallRecord,
    run: &TargetRun,
) -> Option<String> {
    let at = run.call.received_at;
    let notices = world.notices.borrow();
    let notice = notices.iter().find(|notice| {
        let until = notice.until.unwrap_or(at);
        notice.target == run.target && notice.from < at && at < until
    })?;
    let seal = format!("seal-of-{}", world.targets[run.target].target.name());
    let heard = calls.iter().filter(|other| other.host == call.host);
    let heard = heard.filter_map(|other| match &other.end {
        CallEnd::Answered(response) if response.leaving && response.seal == seal => {
            Some(response.headed)
        }
        _ => None,
    });
    let heard = heard.filter(|headed| *headed > notice.from).min()?;
    let late = call.sent > heard + DRAIN_BOUND + SLACK;
    let broken = late && !world.is_interrupted(call.host, heard, at);
    broken.then(|| format!("DRAIN: {call:?} at target {} that leaves", run.target))
}

/// Get whether a host and the store were free of faults from [`SETTLE_TIME`]
/// before `from` until `until`.
pub fn is_settled(world: &SoakWorld, host: usize, from: Instant, until: Instant) -> bool {
    let from = settle_start(from);
    let store = overlaps(&world.store_disturbances.borrow(), from, until);
    !store && !world.is_disturbed(host, from, until)
}

fn settle_start(at: Instant) -> Instant {
    at.checked_sub(SETTLE_TIME).unwrap_or(at)
}

/// Check that callers are served again after all faults have ended.
fn not_recovered(world: &SoakWorld, calls: &[CallRecord]) -> Option<String> {
    let from = world.recovered_at.get()?;
    let late = calls.iter().filter(|call| call.sent > from);
    let late: Vec<&CallRecord> = late.collect();
    let served = late.iter().filter(|call| is_served(call)).count();
    let enough = !late.is_empty() && served * 100 >= late.len() * MIN_SERVED_PERCENT;
    let count = late.len();
    (!enough).then(|| format!("RECOVER: {served} of {count} served after recovery"))
}
