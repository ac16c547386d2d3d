//! Tests of the start of host processes by the test helpers: on free ports, and
//! detected reliably.

mod users;

use std::collections::BTreeSet;
use std::net::{SocketAddr, TcpListener};
use std::process::Command;
use std::sync::atomic::{AtomicBool, Ordering};

use users::ports::PortPool;
use users::{HostAddresses, SiteOptions, free_address, try_start_at};

/// The number of ports that are checked, and of threads that start processes
/// meanwhile. With a check that listens, some ports are then in use.
const PORTS: usize = 2_000;
const STARTERS: usize = 3;

/// Try to start a host without other hosts and with an unreachable store.
fn try_start(addresses: HostAddresses) -> Result<users::HostProcess, String> {
    let store = SocketAddr::from(([127, 0, 0, 1], 9));
    let grace = SiteOptions::default().grace;
    try_start_at(addresses, 0, None, store, grace)
}

// Guards against a test that waits for a host that has ended because its port is
// taken: the process that listens on the port must not be mistaken for the host.
#[test]
fn foreign_listener() {
    let addresses = HostAddresses::free();
    let listener = TcpListener::bind(addresses.metrics).expect("free address");
    assert!(try_start(addresses).is_err());
    drop(listener);
    assert!(try_start(HostAddresses::free()).is_ok());
}

// Guards against hosts that fail to restart because another test program took their
// port while they were down.
#[test]
fn reserved_ports() {
    const DRAWS: usize = 300;
    let mut pools = [PortPool::new(), PortPool::new()];
    let [first, second] = pools.each_mut().map(|pool| {
        let drawn = (0..DRAWS).map(|_| pool.draw().port());
        drawn.collect::<BTreeSet<u16>>()
    });
    assert_eq!(first.len(), DRAWS);
    assert!(first.is_disjoint(&second));
}

// Guards against a port that is in use after a check whether it is free: a child
// process that is started meanwhile must not inherit a listening socket.
#[test]
fn inherited_port() {
    let is_over = AtomicBool::new(false);
    let taken = std::thread::scope(|scope| {
        for _ in 0..STARTERS {
            scope.spawn(|| {
                while !is_over.load(Ordering::Relaxed) {
                    Command::new("true").status().expect("a process");
                }
            });
        }
        let free = (0..PORTS).map(|_| TcpListener::bind(free_address()));
        let taken = free.filter(Result::is_err).count();
        is_over.store(true, Ordering::Relaxed);
        taken
    });
    assert_eq!(taken, 0, "of {PORTS} ports");
}
