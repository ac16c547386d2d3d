//! Tests of which hosts read the service, and of the cost and delay of a
//! change.

mod replica_net;

use replica_net::*;

const BOUND: Duration = Duration::from_secs(9);

fn sums(net: &Net) -> (usize, usize, usize, usize) {
    let nodes = || net.nodes.values();
    (
        nodes().map(|n| n.reads).sum(),
        nodes().map(|n| n.messages).sum(),
        nodes().map(|n| n.bytes).sum(),
        nodes().map(|n| n.bytes).max().unwrap(),
    )
}

#[test]
fn change_cost() {
    println!(
        "hosts domains readers reads/min idle: msgs/s bytes/s(host) change: s msgs bytes(host)"
    );
    for (hosts, domains) in [(8, 3), (32, 3), (32, 8), (128, 8), (380, 8)] {
        let mut net = Net::converged(hosts, domains);
        assert_eq!(net.in_force_range(RULES_VALUE), (1, 1));
        assert_eq!(net.readers().len(), 2 * domains);
        net.reset_counts();
        net.run(secs(60));
        let (reads, idle_messages, idle_bytes, idle_most) = sums(&net);
        net.reset_counts();
        let begun = net.now;
        net.publish_rules(2, secs(9));
        let took = net.last_in_force_at(RULES_VALUE).since(begun);
        assert_eq!(net.in_force_range(RULES_VALUE), (2, 2));
        let (_, messages, bytes, most) = sums(&net);
        // Subtract the idle traffic of those nine seconds.
        let messages = messages.saturating_sub(idle_messages * 9 / 60);
        let bytes = bytes.saturating_sub(idle_bytes * 9 / 60);
        let most = most.saturating_sub(idle_most * 9 / 60);
        println!(
            "{hosts:4} {domains} {:2} {reads:4}  {:.2} {:.0} (most {:.0})  {took:?} {:.1} {:.0} (most {most})",
            net.readers().len(),
            idle_messages as f64 / 60.0 / hosts as f64,
            idle_bytes as f64 / 60.0 / hosts as f64,
            idle_most as f64 / 60.0,
            messages as f64 / hosts as f64,
            bytes as f64 / hosts as f64,
        );
        assert!(took < secs(1));
        // Six values, a watch every half minute, two readers per domain.
        assert!(reads <= 2 * domains * 6 * 2 + domains, "{reads}");
        assert!(idle_most / 60 < 1500, "{idle_most}");
        assert!(most < 16_000, "{most}");
        assert!(bytes / hosts < 4_000);
        let body = rules_body(2, 200).len();
        assert!(bytes < body * hosts / 3, "changes, not whole values");
    }
}

#[test]
fn one_reader_left() {
    // Guards against a change that reaches only one failure domain when a
    // single reader can reach the service.
    for hosts in [8, 32, 128] {
        let mut net = Net::converged(hosts, 3);
        let last = net.readers()[0].clone();
        let cut = net.nodes.keys().filter(|host| **host != last);
        net.no_service.extend(cut.cloned());
        let begun = net.now;
        net.publish_rules(2, BOUND);
        assert_eq!(net.in_force_range(RULES_VALUE), (2, 2));
        println!(
            "{hosts} hosts: {:?}",
            net.last_in_force_at(RULES_VALUE).since(begun)
        );
    }
}

#[test]
fn readers_dead() {
    // Guards against a failure domain that keeps an old revision when both of
    // its readers have failed but are still in the host list.
    let mut net = Net::converged(64, 4);
    for reader in net.readers() {
        net.kill(&reader);
    }
    net.reset_counts();
    let begun = net.now;
    net.publish_rules(2, BOUND);
    assert_eq!(net.in_force_range(RULES_VALUE), (2, 2));
    let reading = net.nodes.values().filter(|node| node.reads > 0).count();
    println!(
        "{:?}, {reading} of 56 hosts read",
        net.last_in_force_at(RULES_VALUE).since(begun)
    );
    assert!(reading <= 4 * 6, "{reading}");
}

#[test]
fn readers_silent() {
    // Guards against an open link that counts as a live reader when all readers
    // are paused.
    let mut net = Net::converged(32, 2);
    let readers = net.readers();
    for reader in &readers {
        net.pause(reader);
    }
    net.publish_rules(2, BOUND);
    let awake = net.nodes.keys().filter(|host| !readers.contains(host));
    for host in awake {
        assert_eq!(net.in_force(host, RULES_VALUE), 2);
    }
}

#[test]
fn outage_load() {
    // Guards against overload of a recovering service when all hosts read it at
    // the same moments.
    let mut net = Net::converged(128, 8);
    net.service_up = false;
    net.run(secs(540));
    net.reset_counts();
    net.run(secs(60));
    let reads: usize = net.nodes.values().map(|node| node.reads).sum();
    let most = net.nodes.values().map(|node| node.reads).max().unwrap();
    println!("down: {reads} reads a minute, most of one host {most}");
    // One read per second and a burst of twelve; the backoff alone would allow
    // more.
    assert!(most <= 60 + 12);
    assert!(reads <= 16 * most);
    net.service_up = true;
    let begun = net.now;
    net.publish_rules(2, BOUND);
    assert_eq!(net.in_force_range(RULES_VALUE), (2, 2));
    println!("back: {:?}", net.last_in_force_at(RULES_VALUE).since(begun));
}
