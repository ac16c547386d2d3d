//! Provides planned stops as the platform performs them, and the check of the
//! calls that they truncate.

use std::rc::Rc;
use std::time::{Duration, Instant};

use http::StatusCode;
use tokio::time::sleep;

use super::callers::{CallEnd, CallRecord};
use super::checks::{SLACK, TargetRun};
use super::late_callers::LateCallers;
use super::{DisturbanceGuard, SoakWorld};
use crate::users;

/// The interval of checks whether a stopping process has exited.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// How long after it was sent an unread call may be closed.
const UNREAD_CLOSE_SLACK: Duration = Duration::from_millis(200);
/// How long after the end of the grace period a truncated call is still attributed
/// to the stop.
const STOP_MARGIN: Duration = Duration::from_secs(1);
/// How long before the end of a grace period a stopping host is woken at the latest.
const WAKE_LEAD: Duration = Duration::from_millis(1_200);
/// How long a host has to adopt another grace period.
const ADOPT_TIME: Duration = Duration::from_millis(800);
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

    /// Get whether a target still ran a call in the last sixth of the grace
    /// period, and the call was cut no sooner.
    fn is_in_progress(&self, call: &CallRecord, runs: &[TargetRun]) -> bool {
        let last_sixth = self.from + self.grace * 5 / 6;
        let is_running =
            |run: &TargetRun| run.call.ended_at.is_none_or(|ended| ended >= last_sixth);
        let is_known = call.kind.is_stream() || is_given_up(call);
        is_known && call.ended >= last_sixth && runs.iter().any(is_running)
    }
}

impl SoakWorld {
    /// Stop a host with SIGTERM, and SIGKILL at the end of the grace period. A host
    /// that is already stopping or down gets no signal.
    pub(super) async fn stop_with_grace(self: &Rc<Self>, host: usize) {
        while self.hosts[host].adopts_grace.get() {
            sleep(POLL_INTERVAL).await;
        }
        let late = match self.unlike_one_in {
            Some(_) if !self.hosts[host].expects_exit.get() => {
                Some(LateCallers::connect(self, host).await)
            }
            _ => None,
        };
        let grace = self.hosts[host].grace.get();
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
        let late = late.map(|late| late.start(self, index as u64, from, grace));
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
        for task in late.into_iter().flatten() {
            task.await.expect("late caller task");
        }
    }

    /// Suspend a host's process while it stops, and wake it well before the end of its
    /// grace period.
    pub(super) async fn pause_stopping(&self, host: usize, duration: Duration) {
        if self.may_suspend(host, duration) {
            let _guard = DisturbanceGuard::new(&self.hosts[host].pauses);
            self.signal(host, "STOP");
            sleep(duration).await;
            self.signal(host, "CONT");
        }
    }

    /// Get whether a host stops and its grace period lasts much longer than a duration.
    fn may_suspend(&self, host: usize, duration: Duration) -> bool {
        let until = Instant::now() + duration + WAKE_LEAD;
        let stops = self.stops.borrow();
        let mut open = stops.iter().filter(|stop| stop.until.is_none());
        open.any(|stop| stop.host == host && until <= stop.from + stop.grace)
    }

    /// Get whether a call was sent while its host was suspended, and its connection was
    /// closed as soon as the host was woken.
    fn lay_unread(&self, call: &CallRecord) -> bool {
        let pauses = self.hosts[call.host].pauses.borrow();
        pauses.iter().any(|pause| {
            let woken = pause
                .until
                .is_some_and(|woken| call.ended <= woken + UNREAD_CLOSE_SLACK + SLACK);
            call.sent >= pause.from && woken
        })
    }

    /// Change a host's grace period, unless it stops, and have its settings reloaded.
    pub(super) async fn reload_grace(&self, host: usize, grace: Duration) {
        let changed = &self.hosts[host];
        if !self.can_reload(host) || changed.adopts_grace.replace(true) {
            return;
        }
        let path = changed.process.borrow().settings.clone();
        users::write_grace(&path, grace);
        changed.grace.set(grace);
        self.signal(host, "HUP");
        sleep(ADOPT_TIME).await;
        changed.adopts_grace.set(false);
    }

    /// Get whether a host's process runs and does not stop.
    fn can_reload(&self, host: usize) -> bool {
        let host = &self.hosts[host];
        !host.expects_exit.get() && host.process.borrow().child.has_started()
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
/// later may not, nor may its run be given up: the host knew the remaining time and
/// could reject the call.
pub fn lost_at_stop(world: &SoakWorld, call: &CallRecord, runs: &[TargetRun]) -> Option<String> {
    let given_up = is_given_up(call) && !runs.is_empty();
    if !world.planned || !(is_cut(call) || given_up) {
        return None;
    }
    if world.grace.is_none() && !given_up {
        return (!runs.is_empty()).then(|| format!("LOST: {call:?}"));
    }
    let held = call.ended.duration_since(call.sent);
    let unread = runs.is_empty() && (held <= UNREAD_CLOSE_SLACK + SLACK || world.lay_unread(call));
    if unread || held >= call.work.deadline {
        return None;
    }
    let Some(stop) = world.stop_of(call) else {
        if given_up {
            return None;
        }
        return Some(format!("LOST without a stop: {}", summary(call, runs)));
    };
    let in_progress = stop.is_in_progress(call, runs);
    let after = call.sent.saturating_duration_since(stop.from);
    if after.is_zero() && (in_progress || given_up) {
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

/// Get whether a host answered that the call's run failed.
fn is_given_up(call: &CallRecord) -> bool {
    matches!(&call.end, CallEnd::Answered(response)
        if response.status == StatusCode::BAD_GATEWAY && response.seal.is_empty())
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
