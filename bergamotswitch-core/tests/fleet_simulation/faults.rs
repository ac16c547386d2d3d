//! Provides the injected events and faults, single or two at once.

use super::*;

/// The shortest pause that a host is sure to detect: two seconds and a tick.
const DETECTED_PAUSE: Duration = Duration::from_millis(2_200);

impl FleetSimulation {
    pub(super) fn inject_event(&mut self, event: FleetEvent) {
        let [what, a, b, c] = event;
        let host = usize::from(a) % HOSTS.len();
        match what {
            0..=119 => self.draw_submission(a, b, c),
            120..=127 => self.burst(a, b),
            128..=151 => self.set_mode(a, b),
            152..=167 => self.disturb_delivery(a, b, c),
            168..=175 => self.caller_leaves(host, b),
            176..=183 => self.publish_rules(b),
            184..=187 => {
                // Two operators publish at the same time.
                self.publish_rules(b);
                self.publish_rules(b / 4);
            }
            188..=193 => {
                let target = pick(&[None, Some(0), Some(1), Some(2)], b);
                self.publish_leaving(target.flatten());
            }
            194..=217 => self.inject_fault(what, a, b),
            218..=223 => {
                self.count("two faults");
                self.inject_fault(194 + b % 24, a, b);
                self.inject_fault(194 + c % 24, a.wrapping_add(1), c);
            }
            _ => self.advance(Duration::from_millis(u64::from(b) * 8)),
        }
    }

    fn inject_fault(&mut self, what: u8, a: u8, b: u8) {
        let host = usize::from(a) % HOSTS.len();
        let span = Duration::from_millis(500 + u64::from(b) * 40);
        match what {
            194..=198 => self.crash(host, span / 2),
            199..=203 => self.pause(host, span, b),
            204..=206 => {
                self.count("partitions");
                let side = |host: usize| (usize::from(a) % 14 + 1) >> host & 1;
                let pairs = (0..4).flat_map(|x| (0..4).map(move |y| (x, y)));
                let cuts = pairs.filter(|(x, y)| side(*x) != side(*y));
                self.cut(cuts.collect(), span);
            }
            207..=209 => {
                self.count("one-way cuts");
                self.cut(vec![(host, (host + 1 + usize::from(b) % 3) % 4)], span);
            }
            210..=212 => {
                self.count("links lost");
                self.last_network_fault_at = self.now;
                self.link_down(host, (host + 1 + usize::from(b) % 3) % 4);
            }
            213 | 214 => {
                self.count("outages");
                self.fail_service(false, span);
            }
            215 => {
                self.count("stale services");
                self.fail_service(true, span);
            }
            _ => self.stop(host),
        }
    }

    /// Submit more low-tier requests at once than the queue can hold.
    fn burst(&mut self, a: u8, b: u8) {
        self.count("bursts");
        for number in 0..24 {
            // An idempotent request without a key, of any tier.
            self.draw_submission(a.wrapping_add(number * 5), 0, b | 6);
        }
    }

    /// Lose, duplicate or delay a message in transit; a delay reorders it.
    fn disturb_delivery(&mut self, a: u8, b: u8, c: u8) {
        let deliveries = self.tasks.iter();
        let deliveries = deliveries.filter(|(_, task)| matches!(task, ScheduledTask::Delivery(_)));
        let keys: Vec<_> = deliveries.map(|(key, _)| *key).collect();
        let Some(key) = pick(&keys, a) else {
            return self.tick_all();
        };
        self.count("messages disturbed");
        self.last_network_fault_at = self.now;
        let Some(task) = self.tasks.remove(&key) else {
            return;
        };
        let late = Duration::from_millis(u64::from(c) * 10);
        match b % 3 {
            0 => {}
            1 => {
                self.tasks.insert(key, task.clone());
                self.post(late, task);
            }
            _ => self.post(late, task),
        }
    }

    /// Deliver a tick to every running host, so that there are messages in transit.
    fn tick_all(&mut self) {
        for host in 0..HOSTS.len() {
            if self.hosts[host].paused_queue.is_none() {
                self.handle(host, NodeEvent::Tick);
            }
        }
    }

    fn crash(&mut self, host: usize, downtime: Duration) {
        if self.hosts[host].core.is_none() {
            return;
        }
        self.count("crashes");
        // A planned stop is already counted as a fault.
        if self.hosts[host].stopping_since.is_none() {
            self.faults += 1;
        }
        self.end_process(host);
        self.post(downtime, ScheduledTask::Start(host));
    }

    /// End a host's process. Dispatched attempts may still run in the engines.
    pub(super) fn end_process(&mut self, host: usize) {
        self.last_change_at = self.now;
        for peer in (0..HOSTS.len()).filter(|peer| *peer != host) {
            self.link_down(host, peer);
        }
        let host_state = &mut self.hosts[host];
        host_state.core = None;
        host_state.paused_queue = None;
        host_state.wanted.clear();
        self.acting.retain(|(at, _)| *at != host);
        // Ends the ownership terms of the process.
        let owned_shards: Vec<_> = self.ownership_changes.keys().cloned().collect();
        for ownership in owned_shards.into_iter().filter(|(at, _)| *at == host) {
            self.record_ownership_change(ownership);
        }
    }

    fn pause(&mut self, host: usize, span: Duration, b: u8) {
        let host_state = &mut self.hosts[host];
        if host_state.core.is_none() || host_state.paused_queue.is_some() {
            return;
        }
        self.count("pauses");
        self.faults += 1;
        self.last_change_at = self.now;
        self.last_network_fault_at = self.now;
        let host_state = &mut self.hosts[host];
        host_state.paused_queue = Some(Vec::new());
        host_state.paused_at = self.now;
        let span = span + Duration::from_secs(u64::from(b % 3));
        self.post(span, ScheduledTask::Resume(host, self.now));
    }

    /// Resume a paused process with its outdated state. The messages that arrived
    /// during the pause are delivered next, after a tick if their number is even.
    pub(super) fn resume(&mut self, host: usize, since: Moment) {
        self.faults -= 1;
        // The process was replaced during its pause.
        if self.hosts[host].paused_at != since {
            return;
        }
        let Some(paused_queue) = self.hosts[host].paused_queue.take() else {
            return;
        };
        self.last_change_at = self.now;
        self.last_network_fault_at = self.now;
        if self.now.since(since) > DETECTED_PAUSE {
            self.hosts[host].resumed_at = self.now;
        }
        self.hosts[host].running_since = self.now;
        if paused_queue.len().is_multiple_of(2) {
            self.handle(host, NodeEvent::Tick);
        }
        for task in paused_queue {
            self.run_task(task);
        }
    }

    /// End all faults now.
    pub(super) fn end_faults(&mut self) {
        self.modes = Default::default();
        // Runs the tasks that end a fault now; other tasks keep their time.
        let ends = self.tasks.iter().filter(|(_, task)| {
            matches!(
                task,
                ScheduledTask::Start(_)
                    | ScheduledTask::Resume(..)
                    | ScheduledTask::Heal(_)
                    | ScheduledTask::ServiceBack
            )
        });
        let keys: Vec<_> = ends.map(|(key, _)| *key).collect();
        for key in keys {
            if let Some(task) = self.tasks.remove(&key) {
                self.post(Duration::ZERO, task);
            }
        }
    }
}
