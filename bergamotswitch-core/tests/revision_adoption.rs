//! Tests of adoption: revisions never decrease, and invalid revisions change
//! nothing.

mod replica_net;

use bergamotswitch_core::revision::{LIMITS_VALUE, RevisionMark};
use replica_net::*;

#[test]
fn service_down() {
    // Guards against a host that starts without rules during an outage of the
    // service.
    let mut net = Net::converged(8, 2);
    let hosts = hosts_body(0..9, 2);
    net.publish(HOSTS_VALUE, 2, hosts);
    net.run(secs(5));
    net.publish_rules(5, secs(2));
    // The host list comes from a service of its own, which stays up.
    let rules = net.service.remove(&name(RULES_VALUE)).unwrap();
    net.add(8);
    net.run(secs(5));
    assert_eq!(net.in_force(&host(8), RULES_VALUE), 5);
    assert!(!net.nodes[&host(8)].replica.status().alone);
    assert_eq!(net.nodes[&host(8)].in_force[&rules.name].2, rules.body);
}

#[test]
fn started_alone() {
    // Guards against a host without peers that reports its revisions as
    // confirmed by a peer.
    let mut net = Net::start(1, 1);
    net.run(Duration::from_secs(1));
    assert!(!net.nodes[&host(0)].replica.is_caught_up(net.now));
    net.run(secs(9));
    assert_eq!(net.in_force_range(RULES_VALUE), (1, 1));
    assert!(net.nodes[&host(0)].replica.status().alone);
    assert!(net.nodes[&host(0)].replica.is_caught_up(net.now));
    assert_eq!(net.log_count(Incident::StartedWithoutPeer), 1);
}

#[test]
fn service_stale() {
    // Guards against withdrawn rules in force again after the service returns
    // to an old revision, also on hosts that were paused.
    let mut net = Net::converged(8, 2);
    net.publish_rules(7, secs(5));
    net.publish_rules(3, secs(120));
    let paused = net.readers()[0].clone();
    net.pause(&paused);
    net.run(secs(60));
    net.resume(&paused, secs(60));
    net.run(secs(20));
    assert_eq!(net.in_force_range(RULES_VALUE), (7, 7));
    assert!(net.log_count(Incident::RevisionStale) >= 1);
    net.publish_rules(8, secs(9));
    assert_eq!(net.in_force_range(RULES_VALUE), (8, 8));
}

#[test]
fn service_flaps() {
    // Guards against rules that alternate between two revisions while a current
    // and a stale replica of the service answer in turn.
    let mut net = Net::converged(8, 2);
    net.publish_rules(9, secs(5));
    net.reset_counts();
    for turn in 0..60 {
        let revision = if turn % 2 == 0 { 4 } else { 9 };
        net.publish_rules(revision, secs(1));
    }
    assert_eq!(net.in_force_range(RULES_VALUE), (9, 9));
    let most = net.nodes.values().map(|node| node.reads).max().unwrap();
    assert!(most <= 72, "{most} reads in a minute");
}

#[test]
fn partition_healed() {
    // Guards against old rules in one half of the fleet after a partition,
    // because changes sent during the partition counted as received.
    let turns = (0..6).map(|turn| (32, turn));
    for (hosts, turn) in [(8, 0), (128, 0)].into_iter().chain(turns) {
        let mut net = Net::converged(hosts, 4);
        for index in (0..hosts).filter(|index| index % 4 < 2) {
            net.partitions.insert(host(index), 1);
            net.no_service.insert(host(index));
        }
        net.publish_rules(2, secs(9));
        assert_eq!(net.in_force_range(RULES_VALUE), (1, 2));
        // Heal between two keepalives rather than just before one, and at each
        // position of the rotation of marks in the polls.
        net.run(Duration::from_millis(60_900 + 2000 * turn));
        net.publish_rules(3, secs(9));
        assert_eq!(net.in_force_range(RULES_VALUE), (1, 3));
        net.partitions.clear();
        let healed = net.now;
        net.run(secs(9));
        assert_eq!(net.in_force_range(RULES_VALUE), (3, 3));
        let took = net.last_in_force_at(RULES_VALUE).since(healed);
        println!("{hosts} hosts, turn {turn}: {took:?} after healing");
    }
}

#[test]
fn all_replaced() {
    // Guards against old rules after a rolling replacement of all hosts while
    // the service is stale.
    let mut net = Net::converged(8, 2);
    net.publish_rules(6, secs(5));
    net.publish(RULES_VALUE, 2, rules_body(2, 200));
    let mut names: Vec<usize> = (0..8).collect();
    for index in 0..8 {
        let added = 100 + index;
        net.add(added);
        net.run(secs(3));
        net.kill(&host(names[index]));
        names[index] = added;
        let list = hosts_body(names.clone(), 2);
        net.publish(HOSTS_VALUE, index as u64 + 2, list);
        net.run(secs(9));
        assert_eq!(net.in_force_range(RULES_VALUE), (6, 6));
        assert_eq!(net.in_force_range(HOSTS_VALUE).0, index as u64 + 2);
    }
    // No new host ever had the stale revision in force.
    for node in net.nodes.values() {
        let validations = node.validations.iter();
        let rules = validations.filter(|validation| validation.0 == name(RULES_VALUE));
        assert!(rules.clone().all(|validation| validation.1 == Revision(6)));
        assert_eq!(rules.count(), 1);
    }
}

#[test]
fn bad_revision() {
    // Guards against an invalid revision in force on hosts that receive it from
    // peers, and against hosts that do not forward a revision they refused.
    let mut net = Net::converged(16, 2);
    let bad = rules_body(2, 200).replace("\"bad\":false", "\"bad\":true");
    net.publish(RULES_VALUE, 2, bad);
    net.run(secs(9));
    assert_eq!(net.in_force_range(RULES_VALUE), (1, 1));
    assert_eq!(net.log_count(Incident::RevisionRefused), 16);
    for node in net.nodes.values() {
        let values = node.replica.status().values;
        let rules = values.iter().find(|v| v.name == name(RULES_VALUE)).unwrap();
        let refused = rules.refused.as_ref().unwrap();
        assert_eq!(refused.revision, Revision(2));
        assert_eq!(refused.findings.len(), 1);
        assert_eq!(rules.in_force, Some(Revision(1)));
        assert_eq!(rules.seen, Some(Revision(2)));
    }
    net.publish_rules(3, secs(9));
    assert_eq!(net.in_force_range(RULES_VALUE), (3, 3));
    for node in net.nodes.values() {
        let values = node.replica.status().values;
        assert!(values.iter().all(|value| value.refused.is_none()));
    }
}

#[test]
fn large_value_once() {
    // Guards against a large value sent to each host several times when it is
    // rewritten completely.
    let mut net = Net::converged(16, 2);
    net.reset_counts();
    let texts: Vec<String> = (0..20_000).map(|i| format!("entry {i}")).collect();
    let body = serde_json::to_string(&texts).unwrap();
    let len = body.len();
    net.publish("pools", 2, body);
    net.run(secs(9));
    assert_eq!(net.in_force_range("pools"), (2, 2));
    let bytes: usize = net.nodes.values().map(|node| node.bytes).sum();
    println!("{:.2} copies a host", bytes as f64 / len as f64 / 16.0);
    // Quotes are escaped in the message, so a copy counts as slightly more
    // bytes.
    assert!(bytes < len * 16 * 3 / 2);
}

fn single_replica() -> RevisionReplica {
    let run = HostIncarnation {
        host: host(0),
        incarnation: Incarnation(1),
    };
    let domain = "domain-0".try_into().unwrap();
    let opts = RevisionOptions::default();
    let mut replica = RevisionReplica::new(run, domain, opts, Moment::START);
    let list = serde_json::from_str(&hosts_body(0..2, 1)).unwrap();
    replica.handle(Moment::START, RevisionEvent::Hosts(list));
    replica.handle(Moment::START, RevisionEvent::PeerUp(host(1)));
    replica
}

fn mark(value: &str, revision: u64) -> RevisionMark {
    RevisionMark {
        name: name(value),
        revision: Revision(revision),
    }
}

fn whole(revision: u64, body: &str) -> RevisionMessage {
    RevisionMessage::Whole(published(RULES_VALUE, revision, body))
}

fn wants(actions: &[RevisionAction]) -> bool {
    let want = RevisionMessage::Want(name(RULES_VALUE));
    actions.contains(&RevisionAction::Send(host(1), want))
}

#[test]
fn gap_and_mismatch() {
    // Guards against different texts under one revision when the base of a
    // patch is missing or differs.
    for (held, from) in [(1, 2), (2, 2)] {
        let mut replica = single_replica();
        let now = Moment::from_millis(10);
        replica.handle(now, RevisionEvent::Peer(host(1), whole(held, "{\"a\":1}")));
        let change = RevisionMessage::Change {
            name: name(RULES_VALUE),
            from: Revision(from),
            to: Revision(3),
            checksum: 42,
            patch: r#"[{"op":"replace","path":"/a","value":2}]"#.into(),
        };
        let actions = replica.handle(now, RevisionEvent::Peer(host(1), change));
        assert!(wants(&actions), "{actions:?}");
        assert_eq!(replica.status().values[5].seen, Some(Revision(held)));
        let actions = replica.handle(now, RevisionEvent::Peer(host(1), whole(3, "{\"a\":2}")));
        let validated = |action: &RevisionAction| matches!(action, RevisionAction::Validate(_));
        assert!(actions.iter().any(validated));
    }
}

#[test]
fn never_reverts() {
    bergamotswitch_draw::for_each::<Vec<(u8, u8, bool)>>(1000, |steps| {
        let mut replica = single_replica();
        let mut now = Moment::from_millis(1);
        let mut highest = 0;
        let mut in_force = 0;
        for (kind, revision, good) in steps {
            now = now.plus(Duration::from_millis(300));
            let revision = u64::from(revision % 16);
            let body = format!("{{\"a\":{revision}}}");
            let value = published(RULES_VALUE, revision, body.clone());
            let event = match kind % 6 {
                0 => RevisionEvent::Read(value),
                1 => RevisionEvent::Peer(host(1), whole(revision, &body)),
                2 => {
                    let mark = mark(RULES_VALUE, revision);
                    RevisionEvent::Peer(host(1), RevisionMessage::Marks(vec![mark]))
                }
                3 => RevisionEvent::ProcessResumed(secs(5)),
                4 => RevisionEvent::ReadFailed(name(RULES_VALUE)),
                _ => RevisionEvent::Tick,
            };
            for action in replica.handle(now, event) {
                let RevisionAction::Validate(value) = action else {
                    continue;
                };
                // Each revision is validated once, and each is higher than the
                // previous one.
                assert!(value.revision.0 > highest);
                highest = value.revision.0;
                let mut findings = bergamotswitch_core::error::Findings::new();
                if *good {
                    in_force = highest;
                } else {
                    findings.add("/a", "x", "y");
                }
                let verdict = findings.into_result(());
                replica.record_verdict(now, &value.name, value.revision, verdict);
            }
            let marks = replica.in_force();
            let held = marks.first().map_or(0, |mark| mark.revision.0);
            assert_eq!(held, in_force);
            assert!(replica.next_wake() > now);
        }
    });
}

/// Feed two revisions to a replica, and get the message that it sends to a peer
/// that has the first.
fn change_between(value: &str, before: &str, after: &str) -> RevisionMessage {
    let mut replica = single_replica();
    let now = Moment::from_millis(10);
    for (revision, body) in [(1, before), (2, after)] {
        let value = published(value, revision, body);
        replica.handle(
            now,
            RevisionEvent::Peer(host(1), RevisionMessage::Whole(value)),
        );
    }
    let mark = mark(value, 1);
    // The peer reconnected and no longer has what it sent before.
    replica.handle(now, RevisionEvent::PeerUp(host(1)));
    let marks = RevisionMessage::Marks(vec![mark]);
    let actions = replica.handle(now, RevisionEvent::Peer(host(1), marks));
    let sent = actions.into_iter().filter_map(|action| match action {
        RevisionAction::Send(_, RevisionMessage::Marks(_)) => None,
        RevisionAction::Send(_, message) => Some(message),
        _ => None,
    });
    sent.last().unwrap()
}

#[test]
fn host_list_change() {
    // Guards against a complete host list sent for each replaced host: removing
    // an entry from the middle must not change all later ones in the patch.
    let before = hosts_body(0..380, 8);
    let after = hosts_body((0..380).filter(|index| *index != 100).chain([400]), 8);
    let message = change_between(HOSTS_VALUE, &before, &after);
    let RevisionMessage::Change { patch, .. } = message else {
        panic!("sent whole");
    };
    println!("list {} bytes, change {} bytes", after.len(), patch.len());
    assert!(patch.len() < 500);
}

#[test]
fn change_restores() {
    let texts = |numbers: &[u8]| {
        let entry = |n: &u8| serde_json::json!({"name": n % 8, "share": n / 8 % 2});
        let entries: Vec<_> = numbers.iter().map(entry).collect();
        // The padding makes a change smaller than the value.
        let padding = "x".repeat(3000);
        serde_json::json!({"entries": entries, "padding": padding, numbers.len().to_string(): 1})
            .to_string()
    };
    bergamotswitch_draw::for_each::<(Vec<u8>, Vec<u8>)>(1000, |(before, after)| {
        let before = texts(&before[..before.len().min(12)]);
        let after = texts(&after[..after.len().min(12)]);
        let message = change_between(RULES_VALUE, &before, &after);
        assert!(matches!(message, RevisionMessage::Change { .. }));
        let mut replica = single_replica();
        let now = Moment::from_millis(10);
        replica.handle(now, RevisionEvent::Peer(host(1), whole(1, &before)));
        let actions = replica.handle(now, RevisionEvent::Peer(host(1), message));
        let validated = RevisionAction::Validate(published(RULES_VALUE, 2, after));
        assert!(actions.contains(&validated), "{actions:?}");
    });
}

#[test]
fn call_order_after_outage() {
    // Guards against rules that take effect long after an outage because the
    // values called first are due again before the last one's turn.
    for outage in 20..80 {
        let mut replica = single_replica();
        let back = Moment::START.plus(secs(outage));
        let mut now = Moment::START;
        let mut answered = BTreeMap::new();
        for begun in [HOSTS_VALUE, LIMITS_VALUE] {
            replica.handle(now, RevisionEvent::ReadFailed(name(begun)));
        }
        while now < back.plus(secs(9)) {
            now = now.plus(Duration::from_millis(100));
            let mut actions = replica.handle(now, RevisionEvent::Tick);
            while let Some(action) = actions.pop() {
                let event = match action {
                    RevisionAction::Read(value) | RevisionAction::Watch(value, _) if now < back => {
                        RevisionEvent::ReadFailed(value)
                    }
                    // The first answer brings a new revision; later watches
                    // wait.
                    RevisionAction::Read(value) | RevisionAction::Watch(value, _) => {
                        if answered.contains_key(&value) {
                            continue;
                        }
                        answered.insert(value.clone(), now);
                        RevisionEvent::Read(PublishedValue {
                            name: value,
                            revision: Revision(1),
                            body: "{}".to_owned(),
                        })
                    }
                    _ => continue,
                };
                actions.extend(replica.handle(now, event));
            }
        }
        assert_eq!(answered.len(), 6, "outage of {outage} s: {answered:?}");
    }
}
