//! The promises, checked from what callers and targets saw.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use bergamotswitch_standin::gateway_target::{RecordedCall, event_text};
use http::StatusCode;

use super::callers::{CallEnd, CallKind, CallRecord, ObservedResponse, body_of};
use super::stops::lost_at_stop;
use super::{SoakWorld, overlaps};
use crate::users::REVOKE_MS;

/// How long a host and the store have to be in health before a bound holds.
const SETTLE_TIME: Duration = Duration::from_secs(3);
/// The time until a configuration is in force, and until a leaving target gets
/// no more, and what the test's own ways take at most.
const APPLY_BOUND: Duration = Duration::from_secs(2);
const DRAIN_BOUND: Duration = Duration::from_secs(2);
pub const SLACK: Duration = Duration::from_millis(400);
/// The part of the calls that has to be served once all is over.
const MIN_SERVED_PERCENT: usize = 90;

/// A `SeenRun` is a call that a target began to work on.
pub struct TargetRun {
    target: usize,
    pub call: RecordedCall,
}

/// Get whether a caller got what it asked for.
pub fn is_served(call: &CallRecord) -> bool {
    match &call.end {
        CallEnd::Answered(response) => response.status == StatusCode::OK && response.complete,
        CallEnd::NoConnection | CallEnd::Closed | CallEnd::TimedOut => false,
    }
}

/// Get all promises that were broken.
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
                    sent_after_drain(world, call, run),
                ],
                None => [Some(format!("UNASKED: nobody sent {id}")), None, None],
            };
            problems.extend(found.into_iter().flatten());
        }
    }
    problems.extend(not_recovered(world, &calls));
    problems
}

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

fn excess_runs(call: &CallRecord, runs: &[TargetRun]) -> Option<String> {
    let bound = if call.kind.is_idempotent() { 2 } else { 1 };
    let count = runs.len();
    (count > bound).then(|| format!("TWICE or BUDGET: {count} runs of {call:?}"))
}

fn rejected_but_run(call: &CallRecord, runs: &[TargetRun]) -> Option<String> {
    let CallEnd::Answered(response) = &call.end else {
        return None;
    };
    let must_not_run = matches!(response.status.as_u16(), 408 | 421 | 429 | 503);
    let broken = must_not_run && response.seal.is_empty() && !runs.is_empty();
    broken.then(|| format!("REFUSED: {call:?} ran"))
}

/// Check an answer against what its target sends.
fn wrong_response(call: &CallRecord) -> Option<String> {
    let CallEnd::Answered(response) = &call.end else {
        return None;
    };
    if !response.id.is_empty() && response.id != call.id {
        return Some(format!("MIXED: another call's answer: {call:?}"));
    }
    if !response.status.is_success() {
        return None;
    }
    let right = match call.kind.is_stream() {
        true => is_expected_stream(response, call.work.events),
        false => is_expected_text(response),
    };
    (!right).then(|| format!("MIXED or ORDER: {call:?}"))
}

fn is_expected_stream(response: &ObservedResponse, events: u32) -> bool {
    let expected: String = (1..=events).map(event_text).collect();
    let right = match response.complete {
        true => response.body == expected,
        // A stream may be cut before its first event, too.
        false => expected.starts_with(&response.body),
    };
    right && response.seal.starts_with("seal-of-drafting")
}

fn is_expected_text(response: &ObservedResponse) -> bool {
    let name = response.seal.strip_prefix("seal-of-").unwrap_or("nobody");
    let text = format!("from {name}");
    match response.complete {
        true => response.body == text,
        false => text.starts_with(&response.body),
    }
}

/// Check that no call is denied that is allowed.
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
            let late = route.is_some_and(|route| call.sent > route.published + APPLY_BOUND + SLACK);
            late && is_settled(world, call.host, call.sent, call.ended)
        }
        StatusCode::NOT_FOUND => true,
        StatusCode::UNAUTHORIZED => !call.second_key,
        _ => false,
    };
    broken.then(|| format!("DENIED or CONFIG: {call:?}"))
}

fn past_deadline(world: &SoakWorld, call: &CallRecord) -> Option<String> {
    let late = call.ended.duration_since(call.sent) > call.work.deadline + SLACK;
    let undisturbed = !world.is_disturbed(call.host, settle_start(call.sent), call.ended);
    (late && undisturbed).then(|| format!("CONFIG: held beyond its time: {call:?}"))
}

/// Check that a target got a call as its caller sent it.
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

/// Targets of the two services take turns.
fn service_of_run(run: &TargetRun) -> usize {
    run.target % 2
}

/// Check that a key that was taken away works no longer, at any host.
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

/// Check that a target that leaves gets no new work.
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

/// Get whether a host and its store were in health over a span.
fn is_settled(world: &SoakWorld, host: usize, from: Instant, until: Instant) -> bool {
    let from = settle_start(from);
    let store = overlaps(&world.store_disturbances.borrow(), from, until);
    !store && !world.is_disturbed(host, from, until)
}

fn settle_start(at: Instant) -> Instant {
    at.checked_sub(SETTLE_TIME).unwrap_or(at)
}

/// Check that callers are served once all is over.
fn not_recovered(world: &SoakWorld, calls: &[CallRecord]) -> Option<String> {
    let from = world.recovered_at.get()?;
    let late = calls.iter().filter(|call| call.sent > from);
    let late: Vec<&CallRecord> = late.collect();
    let served = late.iter().filter(|call| is_served(call)).count();
    let enough = !late.is_empty() && served * 100 >= late.len() * MIN_SERVED_PERCENT;
    let count = late.len();
    (!enough).then(|| format!("RECOVER: {served} of {count} served after all was over"))
}
