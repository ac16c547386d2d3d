//! Provides planned stops as the platform performs them, and the check of the
//! calls that they truncate.

use std::time::{Duration, Instant};

use tokio::time::sleep;

use super::callers::{CallEnd, CallRecord};
use super::checks::{SLACK, TargetRun};
use super::{DisturbanceGuard, SoakWorld};

/// The interval of checks whether a stopping process has exited.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// How long after it was sent an unread call may be closed.
const UNREAD_CLOSE_SLACK: Duration = Duration::from_millis(200);
/// How long after the end of the grace period a truncated call is still attributed
/// to the stop.
const STOP_MARGIN: Duration = Duration::from_secs(1);
/// How long after SIGTERM a call may be sent for its truncation to be reported as
/// CUT, not LOST, if a target still runs it in the last sixth of the grace period.
const EXCUSED_WINDOW: Duration = Duration::from_secs(3);

/// A `HostStop` is a SIGTERM that was sent to a host.
#[derive(Clone, Copy, Debug)]
pub struct HostStop {
    host: usize,
    from: Instant,
    grace: Duration,
    /// When the process exited.
    until: Option<Instant>,
}

impl HostStop {
    /// Get whether this stop may have truncated a call.
    fn may_affect(&self, call: &CallRecord) -> bool {
        let until = self.from + self.grace + STOP_MARGIN;
        self.host == call.host && call.ended >= self.from && call.sent <= until
    }

    /// Get whether a target still ran a stream in the last sixth of the grace
    /// period, and the stream was truncated no sooner.
    fn is_in_progress(&self, call: &CallRecord, runs: &[TargetRun]) -> bool {
        let last_sixth = self.from + self.grace * 5 / 6;
        let is_running =
            |run: &TargetRun| run.call.ended_at.is_none_or(|ended| ended >= last_sixth);
        let is_stream = call.kind.is_stream();
        is_stream && call.ended >= last_sixth && runs.iter().any(is_running)
    }
}

impl SoakWorld {
    /// Stop a host with SIGTERM, and SIGKILL at the end of the grace period. A host
    /// that is already stopping or down gets no signal.
    pub(super) async fn stop_with_grace(&self, host: usize, grace: Duration) {
        let from = Instant::now();
        let expects_exit = &self.hosts[host].expects_exit;
        let process = &self.hosts[host].process;
        if expects_exit.get() || !process.borrow().child.try_signal("TERM") {
            return;
        }
        expects_exit.set(true);
        let index = self.stops.borrow().len();
        self.stops.borrow_mut().push(HostStop {
            host,
            from,
            grace,
            until: None,
        });
        let _guard = DisturbanceGuard::new(&self.hosts[host].interruptions);
        let until = from + grace;
        while expects_exit.get() && Instant::now() < until {
            sleep(POLL_INTERVAL.min(until - Instant::now())).await;
        }
        if expects_exit.get() {
            self.signal(host, "KILL");
        }
        while expects_exit.get() {
            sleep(POLL_INTERVAL).await;
        }
        self.stops.borrow_mut()[index].until = Some(Instant::now());
    }

    /// Get the calls that were sent to a host after its SIGTERM and before its
    /// process exited.
    pub(super) fn calls_while_stopping<'a>(&self, calls: &'a [CallRecord]) -> Vec<&'a CallRecord> {
        let stopping = |call: &&CallRecord| {
            let stops = self.stops.borrow();
            let mut own = stops.iter().filter(|stop| stop.host == call.host);
            own.any(|stop| {
                stop.from < call.sent && stop.until.is_some_and(|until| call.sent < until)
            })
        };
        calls.iter().filter(stopping).collect()
    }

    /// Get the latest stop that may have truncated a call.
    fn stop_of(&self, call: &CallRecord) -> Option<HostStop> {
        let stops = self.stops.borrow();
        let latest = stops.iter().rev().find(|stop| stop.may_affect(call));
        latest.copied()
    }
}

/// Check that planned maintenance loses no call. A call sent before SIGTERM may be
/// truncated if a target still runs it at the end of the grace period. A call sent
/// later may not: the host knew the remaining time and could reject the call.
pub fn lost_at_stop(world: &SoakWorld, call: &CallRecord, runs: &[TargetRun]) -> Option<String> {
    if !world.planned || !is_cut(call) {
        return None;
    }
    if world.grace.is_none() {
        return (!runs.is_empty()).then(|| format!("LOST: {call:?}"));
    }
    let held = call.ended.duration_since(call.sent);
    let unread = runs.is_empty() && held <= UNREAD_CLOSE_SLACK + SLACK;
    if unread || held >= call.work.deadline {
        return None;
    }
    let Some(stop) = world.stop_of(call) else {
        return Some(format!("LOST without a stop: {}", summary(call, runs)));
    };
    let in_progress = stop.is_in_progress(call, runs);
    let after = call.sent.saturating_duration_since(stop.from);
    if in_progress && after.is_zero() {
        return None;
    }
    let name = match in_progress && after <= EXCUSED_WINDOW {
        true => "CUT",
        false => "LOST",
    };
    let (sent, ended) = (since(call.sent, &stop), since(call.ended, &stop));
    let (grace, text) = (stop.grace, summary(call, runs));
    Some(format!(
        "{name}: sent {sent:.2} s and cut {ended:.2} s after SIGTERM, grace {grace:?}: {text}"
    ))
}

fn is_cut(call: &CallRecord) -> bool {
    match &call.end {
        CallEnd::Closed => true,
        CallEnd::Answered(response) => !response.whole,
        CallEnd::NoConnection | CallEnd::TimedOut => false,
    }
}

/// Get the seconds since a stop's SIGTERM, negative before it.
fn since(at: Instant, stop: &HostStop) -> f64 {
    let after = at.saturating_duration_since(stop.from).as_secs_f64();
    after - stop.from.saturating_duration_since(at).as_secs_f64()
}

fn summary(call: &CallRecord, runs: &[TargetRun]) -> String {
    let CallRecord { id, kind, host, .. } = call;
    let dispatched: Vec<Duration> = runs
        .iter()
        .map(|run| run.call.received_at - call.sent)
        .collect();
    let length = call.work.length();
    let deadline = call.work.deadline;
    format!(
        "{id} {kind:?} at host {host}, work of {length:?}, deadline {deadline:?}, \
         at targets after {dispatched:?}"
    )
}
