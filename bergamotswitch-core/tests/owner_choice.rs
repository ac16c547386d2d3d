//! Tests which host owns a shard, which hosts monitor each other, and the number
//! of heartbeats.

mod fleet;

use bergamotswitch_core::rendezvous;
use fleet::*;

fn ranked(count: usize, pool: usize) -> Vec<HostName> {
    let names: Vec<_> = (0..count).map(host).collect();
    rendezvous::rank(&shard(pool), names.iter())
}

#[test]
fn host_removal() {
    bergamotswitch_draw::for_each::<(u8, u8, u16)>(500, |(count, removed, pool)| {
        let count = 2 + *count as usize % 60;
        let removed = host(*removed as usize % count);
        let before = ranked(count, *pool as usize);
        let names = (0..count).map(host).filter(|name| *name != removed);
        let names: BTreeSet<_> = names.collect();
        let after = rendezvous::rank(&shard(*pool as usize), names.iter().rev());
        let expected: Vec<_> = before.into_iter().filter(|name| *name != removed).collect();
        assert_eq!(expected, after);
    });
}

#[test]
fn even_distribution() {
    let mut wins = [0usize; 8];
    for pool in 0..8000 {
        let first = ranked(8, pool).remove(0);
        wins[(0..8).find(|index| host(*index) == first).unwrap()] += 1;
    }
    let (least, most) = (wins.iter().min().unwrap(), wins.iter().max().unwrap());
    assert!(*least > 850 && *most < 1150, "{wins:?}");
}

#[test]
fn one_owner() {
    let shards: Vec<_> = (0..4).map(shard).collect();
    let mut fleet = Fleet::start(8, &shards);
    for shard in &shards {
        fleet.handle_all(MembershipEvent::Using(shard.clone(), true));
    }
    fleet.run(secs(10));
    for (pool, shard) in shards.iter().enumerate() {
        let first = ranked(8, pool).remove(0);
        assert_eq!(fleet.owners_of(shard), vec![first.clone()]);
        for name in fleet.nodes.keys() {
            assert_eq!(fleet.view(name, shard), Some(first.clone()));
        }
    }
}

#[test]
fn owner_in_domain() {
    // Guards against owners outside the failure domain of their shard, which make
    // most permit requests cross regions.
    let of_domain = |index: usize| PoolShard {
        domain: Some(entry(index).domain),
        ..shard(0)
    };
    let shards: Vec<_> = (0..8).map(of_domain).collect();
    let mut fleet = Fleet::start(40, &shards);
    fleet.run(secs(5));
    for (domain, shard) in shards.iter().enumerate() {
        let owners = fleet.owners_of(shard);
        let in_domain = (domain..40).step_by(8).any(|index| owners == [host(index)]);
        assert!(in_domain, "{shard} is owned by {owners:?}");
    }
    // The last candidate is in another domain, because all entry hosts of a domain
    // may fail together while its targets still work.
    for index in (0..40).step_by(8) {
        fleet.kill(&host(index));
    }
    fleet.run(secs(7));
    assert_eq!(fleet.owners_of(&shards[0]).len(), 1);
}

#[test]
fn not_owner_reply() {
    // Guards against permit requests sent to a reachable candidate that has replied
    // that it is not the owner, because its host list is older. It belongs to an earlier
    // release, which does not report the shards it acts for.
    let order = ranked(8, 0);
    let mut fleet = Fleet::start_with(8, &[shard(0)], order.iter().cloned().collect());
    fleet.handle(&order[5], MembershipEvent::Using(shard(0), true));
    fleet.run(secs(3));
    assert_eq!(fleet.view(&order[5], &shard(0)), Some(order[0].clone()));
    let denial = MembershipEvent::NotOwner(order[0].clone(), shard(0));
    fleet.handle(&order[5], denial);
    fleet.run(secs(1));
    assert_eq!(fleet.view(&order[5], &shard(0)), Some(order[1].clone()));
    fleet.run(secs(12));
    assert_eq!(fleet.view(&order[5], &shard(0)), Some(order[0].clone()));
}

#[test]
fn no_candidate() {
    // Guards against a host that waits forever for an owner after all candidates
    // of the shard have failed while the host list still contains them.
    let mut fleet = Fleet::start(6, &[shard(0)]);
    let order = ranked(6, 0);
    fleet.handle(&order[4], MembershipEvent::Using(shard(0), true));
    fleet.run(secs(3));
    for name in &order[..3] {
        fleet.kill(name);
    }
    fleet.run(secs(7));
    assert_eq!(fleet.view(&order[4], &shard(0)), None);
    assert!(fleet.nodes[&order[4]].owner_changes >= 2);
    // Once the list is updated, the next three hosts are the candidates.
    let left: Vec<_> = (0..6).filter(|i| !order[..3].contains(&host(*i))).collect();
    fleet.handle_all(MembershipEvent::Hosts(list(left)));
    fleet.run(secs(5));
    assert_eq!(fleet.owners_of(&shard(0)), vec![order[3].clone()]);
    assert_eq!(fleet.view(&order[4], &shard(0)), Some(order[3].clone()));
}

#[derive(Debug)]
struct WatchCost {
    watched_mean: f64,
    watched_max: usize,
    sent_mean: f64,
    received_max: f64,
}

/// Let each host use up to nine shards, and measure six seconds after
/// convergence.
fn measure(hosts: usize, shard_count: usize) -> WatchCost {
    let shards: Vec<_> = (0..shard_count).map(shard).collect();
    let mut fleet = Fleet::start(hosts, &shards);
    for index in 0..hosts {
        for used in 0..shard_count.min(9) {
            let used = shard((index % 8 * 9 + used) % shard_count);
            fleet.handle(&host(index), MembershipEvent::Using(used, true));
        }
    }
    fleet.run(secs(5));
    for node in fleet.nodes.values_mut() {
        node.sent = 0;
        node.received = 0;
    }
    fleet.run(secs(6));
    let watched: Vec<_> = fleet.nodes.values().map(|n| n.dialing.len()).collect();
    let sent: usize = fleet.nodes.values().map(|n| n.sent).sum();
    let received = fleet.nodes.values().map(|n| n.received).max().unwrap();
    WatchCost {
        watched_mean: watched.iter().sum::<usize>() as f64 / hosts as f64,
        watched_max: *watched.iter().max().unwrap(),
        sent_mean: sent as f64 / hosts as f64 / 6.0,
        received_max: received as f64 / 6.0,
    }
}

#[test]
fn watch_cost() {
    println!("hosts shards monitored(mean,max) heartbeats/s(sent mean, received max)");
    for shards in [2, 9, 72] {
        for hosts in [8, 32, 128, 380] {
            let cost = measure(hosts, shards);
            println!("{hosts:5} {shards:6} {cost:?}");
            // A host monitors the candidates of its nine used shards and of the
            // shards where it is a candidate itself; the latter get fewer as hosts
            // are added.
            assert!(cost.watched_max < hosts.min(40), "{cost:?}");
            assert!(cost.sent_mean <= 50.0, "{cost:?}");
            assert!(cost.received_max <= 100.0, "{cost:?}");
            if hosts >= 128 {
                assert!(cost.watched_mean <= 20.0, "{cost:?}");
                assert!(cost.sent_mean <= 30.0, "{cost:?}");
            }
        }
    }
}
