//! Tests of membership when hosts fail, are paused, are partitioned and are
//! replaced.

mod fleet;

use bergamotswitch_core::incident::Incident;
use fleet::*;

/// Check that each of the hosts sees `owner` as the acting owner.
fn assert_viewed(fleet: &Fleet, hosts: &[HostName], owner: &HostName) {
    for name in hosts {
        assert_eq!(fleet.view(name, &shard(0)), Some(owner.clone()));
    }
}

/// Check that the first two candidates act, and no other host.
fn assert_both_own(fleet: &Fleet, order: &[HostName]) {
    let mut both = order[..2].to_vec();
    both.sort();
    assert_eq!(fleet.owners_of(&shard(0)), both);
}

#[test]
fn owner_killed() {
    // Guards against a shard without an owner after its owner was killed, and
    // against slots of the killed incarnation that are never reclaimed.
    let (mut fleet, order) = converged(8);
    fleet.kill(&order[0]);
    fleet.run(secs(3));
    assert_eq!(fleet.owners_of(&shard(0)), vec![order[1].clone()]);
    for name in &order[1..] {
        assert_eq!(fleet.view(name, &shard(0)), Some(order[1].clone()));
        assert!(fleet.nodes[name].terminated.is_empty());
    }
    fleet.add(index_of(&order[0]), 2, &[shard(0)], list(0..8));
    fleet.run(secs(8));
    assert_eq!(fleet.owners_of(&shard(0)), vec![order[0].clone()]);
    for name in &order[1..] {
        assert_eq!(fleet.view(name, &shard(0)), Some(order[0].clone()));
        assert_eq!(fleet.nodes[name].terminated, vec![order[0].clone()]);
    }
}

#[test]
fn owner_paused() {
    // Guards against an open link that counts as a live owner: the owner of a
    // large fleet is paused while its links stay open, and resumes later as
    // the first candidate.
    let (mut fleet, order) = converged(128);
    fleet.pause(&order[0]);
    fleet.run(secs(3));
    assert!(fleet.owners_of(&shard(0)).contains(&order[1]));
    // Users send heartbeats every 2 s here until one is unanswered.
    fleet.run(secs(2));
    assert_viewed(&fleet, &order[1..], &order[1]);
    fleet.resume(&order[0], secs(5));
    fleet.run(secs(9));
    assert_eq!(fleet.owners_of(&shard(0)), vec![order[0].clone()]);
    for name in &order {
        assert_eq!(fleet.view(name, &shard(0)), Some(order[0].clone()));
        assert!(fleet.nodes[name].terminated.is_empty());
    }
}

#[test]
fn second_paused() {
    // Guards against a host that counts its own pause as silence of its
    // peers: the acting second candidate is paused while the first one
    // returns.
    let (mut fleet, order) = converged(8);
    fleet.kill(&order[0]);
    fleet.run(secs(4));
    assert_eq!(fleet.owners_of(&shard(0)), vec![order[1].clone()]);
    fleet.pause(&order[1]);
    fleet.run(secs(1));
    fleet.add(index_of(&order[0]), 2, &[shard(0)], list(0..8));
    fleet.run(secs(60));
    fleet.nodes.get_mut(&order[1]).unwrap().log_actions.clear();
    fleet.resume(&order[1], secs(61));
    assert_eq!(fleet.owners_of(&shard(0)), vec![order[0].clone()]);
    fleet.run(secs(10));
    assert_eq!(fleet.owners_of(&shard(0)), vec![order[0].clone()]);
    assert_viewed(&fleet, &order, &order[0]);
    let unreachable = |note: &MembershipAction| {
        matches!(
            note,
            MembershipAction::LogIncident(Incident::PeerUnreachable, _)
        )
    };
    assert!(!fleet.nodes[&order[1]].log_actions.iter().any(unreachable));
}

// Guards against an owner that keeps acting, or ceases without an action, after
// a pause during which another host took over.
#[test]
fn resumed_owner_ceases() {
    let (mut fleet, order) = converged(8);
    fleet.kill(&order[0]);
    fleet.run(secs(4));
    fleet.pause(&order[1]);
    fleet.run(secs(4));
    let changes = fleet.nodes[&order[1]].acting_changes;
    fleet.resume(&order[1], secs(4));
    assert!(fleet.nodes[&order[1]].membership.acting_shards().is_empty());
    assert_eq!(fleet.nodes[&order[1]].acting_changes, changes + 1);
}

// Guards against a shard without an owner after a pause too short to be
// detected.
#[test]
fn short_pause() {
    let (mut fleet, order) = converged(8);
    fleet.kill(&order[0]);
    fleet.run(secs(4));
    let changes = fleet.nodes[&order[1]].acting_changes;
    fleet.pause(&order[1]);
    fleet.run(Duration::from_millis(1_100));
    fleet.resume(&order[1], Duration::from_millis(1_100));
    for _ in 0..40 {
        fleet.run(Duration::from_millis(100));
        assert_eq!(fleet.owners_of(&shard(0)), vec![order[1].clone()]);
    }
    assert_eq!(fleet.nodes[&order[1]].acting_changes, changes);
}

#[test]
fn pause_without_event() {
    // Guards against peers reported as unreachable after a pause that is
    // not announced by an event.
    let (mut fleet, order) = converged(8);
    fleet.pause(&order[2]);
    fleet.run(secs(30));
    fleet.nodes.get_mut(&order[2]).unwrap().log_actions.clear();
    fleet.handle(&order[2], MembershipEvent::Tick);
    fleet.resume(&order[2], Duration::ZERO);
    fleet.run(secs(5));
    assert!(fleet.nodes[&order[2]].log_actions.is_empty());
    assert_eq!(fleet.owners_of(&shard(0)), vec![order[0].clone()]);
}

#[test]
fn one_way_cut() {
    // Guards against a path that counts as working at one end although one
    // direction has failed.
    let (mut fleet, order) = converged(8);
    fleet.cut(&order[0], &order[1]);
    fleet.run(secs(4));
    let reachable = |fleet: &Fleet, at: &HostName, peer: &HostName| {
        let mut peers = fleet.nodes[at].membership.peers().into_iter();
        peers.find(|view| view.host == *peer).unwrap().reachable
    };
    assert_eq!(reachable(&fleet, &order[0], &order[1]), Some(false));
    assert_eq!(reachable(&fleet, &order[1], &order[0]), Some(false));
    // Hosts that reach the first candidate keep it as owner.
    assert_eq!(fleet.view(&order[4], &shard(0)), Some(order[0].clone()));
    fleet.cuts.clear();
    fleet.run(secs(8));
    assert_eq!(reachable(&fleet, &order[0], &order[1]), Some(true));
    assert_eq!(fleet.owners_of(&shard(0)), vec![order[0].clone()]);
}

#[test]
fn flapping_link() {
    // Guards against an owner that changes with every flap of the link between
    // the first two candidates.
    let (mut fleet, order) = converged(8);
    let changes = |fleet: &Fleet| {
        let users = order.iter().filter(|name| **name != order[1]);
        let users: usize = users.map(|name| fleet.nodes[name].owner_changes).sum();
        (fleet.nodes[&order[0]].acting_changes, users)
    };
    let before = changes(&fleet);
    for _ in 0..20 {
        fleet.cut(&order[0], &order[1]);
        fleet.run(secs(3));
        fleet.cuts.clear();
        fleet.run(secs(1));
        // Nobody acts beside the owner once the link works.
        assert_eq!(fleet.owners_of(&shard(0)), vec![order[0].clone()]);
        fleet.run(secs(2));
    }
    fleet.run(secs(10));
    assert_eq!(fleet.owners_of(&shard(0)), vec![order[0].clone()]);
    assert_eq!(changes(&fleet), before);
}

#[test]
fn partition_healed() {
    // Guards against a second owner, or none, after a partition that cuts off
    // the first candidate with some users has healed.
    let (mut fleet, order) = converged(8);
    let small = [order[0].clone(), order[5].clone(), order[6].clone()];
    fleet.partition(|name| small.contains(name));
    fleet.run(secs(6));
    assert_both_own(&fleet, &order);
    assert_eq!(fleet.view(&order[5], &shard(0)), Some(order[0].clone()));
    assert_eq!(fleet.view(&order[4], &shard(0)), Some(order[1].clone()));
    fleet.run(secs(300));
    fleet.cuts.clear();
    fleet.run(secs(9));
    assert_eq!(fleet.owners_of(&shard(0)), vec![order[0].clone()]);
    for name in &order {
        assert_eq!(fleet.view(name, &shard(0)), Some(order[0].clone()));
        // A host behind a partition still runs its requests.
        assert!(fleet.nodes[name].terminated.is_empty());
    }
}

#[test]
fn planned_stop() {
    // Guards against a stopping owner that ceases to act before the next
    // candidate has taken over.
    let (mut fleet, order) = converged(8);
    fleet.handle(&order[0], MembershipEvent::Stop);
    // During the handover both act, and users switch to the next candidate.
    fleet.run(Duration::from_millis(500));
    assert_both_own(&fleet, &order);
    assert_viewed(&fleet, &order, &order[1]);
    fleet.run(secs(2));
    assert_eq!(fleet.owners_of(&shard(0)), vec![order[1].clone()]);
}

#[test]
fn delisted_host_terminated() {
    // Guards against slots that are never reclaimed from a host that was
    // removed from the host list and terminated later.
    let (mut fleet, order) = converged(8);
    let leaving = order[7].clone();
    let mut shorter = list(0..8);
    for host in &mut shorter.hosts {
        if host.name == leaving {
            host.standing = Standing::Leaving;
        }
    }
    fleet.handle_all(MembershipEvent::Hosts(shorter));
    fleet.run(secs(120));
    assert!(fleet.nodes[&order[0]].terminated.is_empty());
    fleet.kill(&leaving);
    fleet.run(secs(40));
    assert!(fleet.nodes[&order[0]].terminated.is_empty());
    fleet.run(secs(30));
    assert_eq!(fleet.nodes[&order[0]].terminated, vec![leaving]);
}

#[test]
fn late_old_incarnation() {
    // Guards against a live host reported as terminated because an earlier
    // incarnation resumes after a pause and connects again.
    let (mut fleet, order) = converged(8);
    let old = fleet.nodes[&order[0]].run.clone();
    let mut new = old.clone();
    new.incarnation = Incarnation(77);
    fleet.handle(&order[1], MembershipEvent::LinkUp(new));
    fleet.handle(&order[1], MembershipEvent::LinkUp(old));
    assert_eq!(fleet.nodes[&order[1]].terminated, vec![order[0].clone()]);
}

#[test]
fn all_replaced() {
    // Guards against a shard without an owner during a rolling replacement in
    // which the host list is updated late.
    let (mut fleet, _) = converged(8);
    let mut names: Vec<usize> = (0..8).collect();
    for (index, added) in (100..108).enumerate() {
        let old = names[index];
        fleet.handle(&host(old), MembershipEvent::Stop);
        names[index] = added;
        fleet.add(added, 1, &[shard(0)], list(names.clone()));
        fleet.handle(&host(added), MembershipEvent::Using(shard(0), true));
        fleet.run(secs(2));
        assert!(!fleet.owners_of(&shard(0)).is_empty());
        fleet.kill(&host(old));
        fleet.handle_all(MembershipEvent::Hosts(list(names.clone())));
        fleet.run(secs(10));
        assert_eq!(fleet.owners_of(&shard(0)).len(), 1);
    }
    let owner = fleet.owners_of(&shard(0)).remove(0);
    for name in fleet.nodes.keys() {
        assert_eq!(fleet.view(name, &shard(0)), Some(owner.clone()));
    }
}

#[test]
fn quick_restart() {
    // Guards against users that do not register their requests and keys with
    // the new incarnation of an owner that restarts before any host suspects it.
    let (mut fleet, order) = converged(4);
    let changes = |fleet: &Fleet| -> Vec<usize> {
        let users = order[1..].iter();
        users.map(|name| fleet.nodes[name].owner_changes).collect()
    };
    let before = changes(&fleet);
    fleet.kill(&order[0]);
    fleet.add(index_of(&order[0]), 2, &[shard(0)], list(0..4));
    fleet.run(secs(1));
    for (after, before) in changes(&fleet).iter().zip(before) {
        assert_eq!(*after, before + 1);
    }
    assert_eq!(fleet.view(&order[1], &shard(0)), Some(order[0].clone()));
}

// Guards against two owners that run a request with the same key: after the
// owner's failure, a candidate that contacts the next one too early and gets a
// denial must not act itself.
#[test]
fn early_detection() {
    let earlier_release: BTreeSet<HostName> = order(3).into_iter().collect();
    let asked = asked_after_loss(earlier_release);
    assert!(
        asked >= 2,
        "asked again while the next one may be about to act"
    );
    // A candidate that reports that it does not act is not asked at all.
    assert_eq!(asked_after_loss(BTreeSet::new()), 0);
}

/// Kill the owner when the last candidate has lost it already, and get how often that
/// candidate asks the next one, which does not act yet.
fn asked_after_loss(earlier_release: BTreeSet<HostName>) -> usize {
    let (mut fleet, order) = converged_with(3, earlier_release);
    let [owner, next, last] = order.as_slice() else {
        panic!("three hosts");
    };
    // What the last candidate sends in this time is denied by the next one.
    fleet.cut(last, owner);
    let mut asked = 0;
    for step in 0..100 {
        fleet.run(Duration::from_millis(50));
        let acts = fleet.owners_of(&shard(0)).contains(next);
        if fleet.view(last, &shard(0)).as_ref() == Some(next) && !acts {
            asked += 1;
            fleet.handle(last, MembershipEvent::NotOwner(next.clone(), shard(0)));
        }
        assert!(!fleet.owners_of(&shard(0)).contains(last), "step {step}");
        if step == 20 {
            fleet.kill(owner);
        }
    }
    assert_eq!(fleet.owners_of(&shard(0)), std::slice::from_ref(next));
    assert_viewed(&fleet, &order[1..], next);
    asked
}

/// Guards against a host that is paused until the others have forgotten it, and then
/// counts as unreachable for as long as it had run before.
#[test]
fn forgotten_host() {
    let (mut fleet, order) = converged(8);
    fleet.run(secs(300));
    let paused = &order[0];
    fleet.pause(paused);
    let others = (0..8).filter(|index| *index != index_of(paused));
    for name in &order[1..] {
        fleet.handle(name, MembershipEvent::Hosts(list(others.clone())));
    }
    fleet.run(secs(70));
    fleet.close_links(paused);
    for name in &order[1..] {
        fleet.handle(name, MembershipEvent::Hosts(list(0..8)));
    }
    fleet.resume(paused, secs(70));
    fleet.run(secs(10));
    assert_eq!(fleet.owners_of(&shard(0)), vec![paused.clone()]);
    assert_viewed(&fleet, &order, paused);
}

// Guards against an owner that ceases after a pause and acts again at once, although
// another host has taken over.
#[test]
fn ceases_for_good() {
    for pause_ms in [2_050, 2_200, 2_450, 2_600, 3_000] {
        let (mut fleet, order) = converged(8);
        fleet.kill(&order[0]);
        fleet.run(secs(4));
        let pause = Duration::from_millis(pause_ms);
        fleet.pause(&order[1]);
        fleet.run(pause);
        fleet.resume(&order[1], pause);
        let acting = fleet.nodes[&order[1]].membership.acting_shards();
        assert!(acting.is_empty(), "after {pause_ms} ms");
    }
}

// Guards against a report of a second owner when the other one ceases.
#[test]
fn ceased_peer() {
    let (mut fleet, order) = converged(3);
    fleet.handle(&order[0], MembershipEvent::Stop);
    fleet.run(secs(3));
    let contests = |name: &HostName| {
        let log = fleet.nodes[name].log_actions.iter();
        log.filter(|action| matches!(action, MembershipAction::LogContest(..)))
            .count()
    };
    // The former owner hears of the next one while it hands the shard over.
    assert_eq!(contests(&order[0]), 1);
    assert_eq!(contests(&order[1]), 0);
}
