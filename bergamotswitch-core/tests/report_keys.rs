//! Tests of reports with idempotency keys, which engines must run once, while the owner
//! of their shard is lost, stands still, stops or is started again.

mod entry_support;
mod node_support;

use entry_support::*;
use node_support::NodeEvent;
use node_support::fault_net::*;

/// The longest time for which two hosts may act for a shard: a hand-over.
const HANDOVER: Duration = Duration::from_secs(1);

/// The interval between two heartbeats.
const HEARTBEAT: Duration = Duration::from_millis(500);

/// How long callers go on after the last event of a case.
const AFTERWARDS: Duration = Duration::from_secs(8);

/// The longest time that a stopping host takes for the requests that it accepted.
const LONGEST_STOP: Duration = Duration::from_secs(10);

/// Lengths of pauses, and of the time until a host is back.
const SPANS_MS: [u64; 8] = [1_000, 1_500, 2_000, 2_200, 2_600, 3_000, 4_000, 5_000];

const ALL: [usize; 3] = [0, 1, 2];

/// A `Findings` collects what callers got in the plays of a case.
#[derive(Default)]
struct Findings {
    plays: usize,
    failed: Vec<String>,
}

impl Findings {
    /// Check that each call ran once, and that nobody was told otherwise.
    fn check_calls(&mut self, net: &FaultNet, play: &str) {
        self.plays += 1;
        let wrong = net.not_once();
        let twice = wrong.iter().filter(|(_, runs)| runs.len() > 1).count();
        let claims = net.false_claims().len();
        let open = net.unended().len();
        if !wrong.is_empty() || claims > 0 || open > 0 {
            let names = net.calls.iter().map(|call| &call.name);
            let names: std::collections::BTreeSet<_> = names.collect();
            self.failed.push(format!(
                "{play}: of {} keys {twice} ran more than once, {} never, {claims} false claims, \
                 {open} without an end; the first and last {:?} {:?}",
                names.len(),
                wrong.len() - twice,
                wrong.first(),
                wrong.last(),
            ));
        }
    }

    /// Check that no two hosts acted for longer than a hand-over.
    fn check_owners(&mut self, net: &FaultNet, play: &str) {
        if net.longest_overlap > HANDOVER {
            self.failed.push(format!(
                "{play}: two hosts act for {:?}",
                net.longest_overlap
            ));
        }
    }

    fn assert_none(&self, case: &str) {
        assert!(
            self.failed.is_empty(),
            "{case}: {} failures in {} plays:\n{}",
            self.failed.len(),
            self.plays,
            self.failed.join("\n")
        );
    }
}

fn ms(span: u64) -> Duration {
    Duration::from_millis(span)
}

fn call_without_key() -> Submission {
    let mut submission = submission();
    submission.verdict.idempotent = false;
    submission
}

/// Send new keys to the hosts at once at this interval while time passes.
fn send_keys(net: &mut FaultNet, hosts: &[usize], interval: Duration, span: Duration) {
    let end = net.now.plus(span);
    while net.now < end {
        let key = format!("report-{}", net.now.as_micros() / 1_000);
        for host in hosts {
            net.submit(*host, &key, keyed_submission(&key));
        }
        net.advance(interval);
    }
}

/// Send calls without a key to the hosts at this interval while time passes.
fn send_unkeyed(net: &mut FaultNet, hosts: &[usize], span: Duration) {
    let end = net.now.plus(span);
    while net.now < end {
        for host in hosts {
            let name = format!("call-{}-{host}", net.now.as_micros() / 1_000);
            net.submit(*host, &name, call_without_key());
        }
        net.advance(ms(100));
    }
}

// Guards against a second run of a report whose holder stands still while the owner is
// killed: the next owner does not know its key.
#[test]
fn stopped_holder() {
    let mut findings = Findings::default();
    for order in orders() {
        for span in SPANS_MS {
            for (place, delay) in [1, 2]
                .into_iter()
                .flat_map(|place| [100, 600, 1_500, 3_000].map(|delay| (place, delay)))
            {
                for tick_first in [false, true] {
                    let mut net = FaultNet::start(&order);
                    let candidates = net.candidates();
                    let (holder, other) = (candidates[place], candidates[3 - place]);
                    net.submit(holder, "report", keyed_submission("report"));
                    net.advance(ms(200));
                    net.pause(holder);
                    net.advance(ms(100));
                    net.kill(candidates[0]);
                    net.advance(ms(span));
                    net.resume(holder, tick_first);
                    net.advance(ms(delay));
                    net.submit(other, "report", keyed_submission("report"));
                    net.settle();
                    let play = format!(
                        "candidate {place} holds, {span} ms, sent {delay} ms after, {order:?}, \
                         tick first {tick_first}"
                    );
                    findings.check_calls(&net, &play);
                }
            }
        }
    }
    findings.assert_none("stopped_holder");
}

// Guards against two owners, and second runs of reports, after a first candidate was
// killed and started again.
#[test]
fn restarted_candidate() {
    let mut findings = Findings::default();
    for order in orders() {
        for span in SPANS_MS {
            let mut net = FaultNet::start(&order);
            let first = net.candidates()[0];
            send_keys(&mut net, &ALL, ms(100), ms(500));
            net.kill(first);
            send_keys(&mut net, &ALL, ms(100), ms(span));
            net.restart(first);
            send_keys(&mut net, &ALL, ms(100), AFTERWARDS);
            net.settle();
            let play = format!("back after {span} ms, {order:?}");
            findings.check_calls(&net, &play);
            findings.check_owners(&net, &play);
        }
    }
    findings.assert_none("restarted_candidate");
}

// Guards against two owners, and second runs of reports, after an owner stood still.
#[test]
fn stopped_owner() {
    let mut findings = Findings::default();
    for order in orders() {
        for span in SPANS_MS {
            for tick_first in [false, true] {
                let mut net = FaultNet::start(&order);
                let [first, second, third] = net.candidates();
                send_keys(&mut net, &ALL, ms(100), ms(500));
                net.pause(first);
                send_keys(&mut net, &[second, third], ms(100), ms(span));
                net.resume(first, tick_first);
                send_keys(&mut net, &ALL, ms(100), AFTERWARDS);
                net.settle();
                let play = format!("{span} ms, {order:?}, tick first {tick_first}");
                findings.check_calls(&net, &play);
                findings.check_owners(&net, &play);
            }
        }
    }
    findings.assert_none("stopped_owner");
}

// Guards against an owner that forgets keys when it stands still and goes on as owner, so
// that a report whose holder is gone runs again.
#[test]
fn resumed_owner() {
    let mut findings = Findings::default();
    for order in orders() {
        // Nobody takes over in this time.
        for span in [500, 1_000, 1_500, 1_900, 2_000] {
            let mut net = FaultNet::start(&order);
            let [owner, holder, other] = net.candidates();
            net.submit(holder, "report", keyed_submission("report"));
            net.advance(ms(200));
            net.kill(holder);
            net.advance(ms(100));
            net.pause(owner);
            net.advance(ms(span));
            net.resume(owner, false);
            net.advance(ms(3_000));
            net.submit(other, "report", keyed_submission("report"));
            net.settle();
            findings.check_calls(&net, &format!("{span} ms, {order:?}"));
        }
    }
    findings.assert_none("resumed_owner");
}

// Guards against second runs of reports while an owner stops by plan, and when it is
// back.
#[test]
fn planned_handover() {
    let mut findings = Findings::default();
    for order in orders() {
        for span in SPANS_MS {
            for place in 0..3 {
                let mut net = FaultNet::start(&order);
                let candidates = net.candidates();
                let first = candidates[0];
                // One key is sent all the time, the others once.
                net.submit(candidates[place], "steady", keyed_submission("steady"));
                net.advance(ms(100));
                assert_eq!(net.started[0].host, candidates[place]);
                let send = |net: &mut FaultNet, span: Duration| {
                    let end = net.now.plus(span);
                    while net.now < end {
                        for host in ALL {
                            net.submit(host, "steady", keyed_submission("steady"));
                        }
                        send_keys(net, &ALL, ms(50), ms(50));
                    }
                };
                send(&mut net, ms(500));
                net.tell(first, NodeEvent::Stop);
                send(&mut net, ms(2_000));
                net.tell(first, NodeEvent::AdmissionClosed);
                send(&mut net, ms(1_000));
                // The process ends once no request waits or runs there.
                let due = net.now.plus(LONGEST_STOP);
                while !net.is_idle(first) && net.now < due {
                    send(&mut net, ms(100));
                }
                assert!(net.is_idle(first), "{:?}", net.unended());
                net.kill(first);
                send(&mut net, ms(span));
                net.restart(first);
                send(&mut net, AFTERWARDS);
                net.settle();
                let play = format!("candidate {place} holds, back after {span} ms, {order:?}");
                findings.check_calls(&net, &play);
            }
        }
    }
    findings.assert_none("planned_handover");
}

// Guards against calls without a key that wait for the keys of other hosts after a
// change of the owner.
#[test]
fn unkeyed_reports() {
    let mut findings = Findings::default();
    for order in orders() {
        for span in SPANS_MS {
            for is_killed in [true, false] {
                let mut net = FaultNet::start(&order);
                let [first, second, third] = net.candidates();
                match is_killed {
                    true => net.kill(first),
                    false => net.pause(first),
                }
                send_unkeyed(&mut net, &[second, third], ms(span));
                match is_killed {
                    true => net.restart(first),
                    false => net.resume(first, false),
                }
                let woke_at = net.now;
                send_unkeyed(&mut net, &[second, third], AFTERWARDS);
                net.settle();
                let play = format!("killed {is_killed}, {span} ms, {order:?}");
                findings.check_calls(&net, &play);
                // The first host that acts after the loss, whichever it is.
                let lost_at = woke_at.since(Moment::START) - ms(span);
                let acting = net.log.iter().find(|(at, text)| {
                    at.since(Moment::START) > lost_at && text.contains("OwnershipTaken")
                });
                let acting_at = acting.map_or(woke_at, |(at, _)| *at);
                for call in &net.calls {
                    let run = net.started.iter().find(|run| run.name == call.name);
                    let due = call.sent_at.max(acting_at).plus(HEARTBEAT);
                    if run.is_none_or(|run| run.at > due) {
                        let started = run.map(|run| run.at);
                        findings.failed.push(format!(
                            "{play}: {} sent {:?}, an owner acts {acting_at:?}, started {started:?}",
                            call.name, call.sent_at
                        ));
                    }
                }
            }
        }
    }
    findings.assert_none("unkeyed_reports");
}
