//! Planned stops as the platform carries them out, and the calls they cut.

use std::time::{Duration, Instant};

use tokio::time::sleep;

use super::callers::{CallEnd, CallRecord};
use super::checks::{SLACK, TargetRun};
use super::{DisturbanceGuard, SoakWorld};

/// How often the world looks whether a stopping process has ended.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// How long after its last byte a call may be closed that was not read.
const UNREAD_CLOSE_SLACK: Duration = Duration::from_millis(200);
/// How long after the end of the grace a cut counts as the stop's.
const STOP_MARGIN: Duration = Duration::from_secs(1);
/// How long after the signal the rules excuse the cut of a call that is still
/// worked on in the last sixth of the grace.
const EXCUSED_WINDOW: Duration = Duration::from_secs(3);

/// A `HostStop` is a SIGTERM that a host got.
#[derive(Clone, Copy, Debug)]
pub struct HostStop {
    host: usize,
    from: Instant,
    grace: Duration,
    /// When its process was gone.
    until: Option<Instant>,
}

impl HostStop {
    /// Get whether a cut of this call may be this stop's.
    fn may_affect(&self, call: &CallRecord) -> bool {
        let until = self.from + self.grace + STOP_MARGIN;
        self.host == call.host && call.ended >= self.from && call.sent <= until
    }

    /// Get whether a target still worked on a call in the last sixth of the
    /// grace, and the call was cut no sooner.
    fn is_in_progress(&self, call: &CallRecord, runs: &[TargetRun]) -> bool {
        let last_sixth = self.from + self.grace * 5 / 6;
        let works = |run: &TargetRun| run.call.ended_at.is_none_or(|ended| ended >= last_sixth);
        let is_stream = call.kind.is_stream();
        is_stream && call.ended >= last_sixth && runs.iter().any(works)
    }
}

impl SoakWorld {
    /// Stop a host: SIGTERM, and SIGKILL at the end of the grace. One that is
    /// stopped already, or away, is left alone.
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
        let _guard = DisturbanceGuard::new(&self.hosts[host].disturbances);
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

    /// Get the calls that a stopping host took or turned away: sent after its
    /// signal, and before its process was gone.
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

    fn stop_of(&self, call: &CallRecord) -> Option<HostStop> {
        let stops = self.stops.borrow();
        let latest = stops.iter().rev().find(|stop| stop.may_affect(call));
        latest.copied()
    }
}

/// In a run of planned work alone no call is lost. Where work may be longer than
/// the grace, one that was sent before the signal may be cut if a target still
/// works on it at the end of the grace. One that was sent after it may not: the
/// host knew how much time was left and could turn it away.
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
        CallEnd::Answered(response) => !response.complete,
        CallEnd::NoConnection | CallEnd::TimedOut => false,
    }
}

/// Get the seconds from a stop's signal, negative before it.
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
