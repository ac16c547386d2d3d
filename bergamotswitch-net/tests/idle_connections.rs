//! Tests how many idle connections to targets a host keeps, and which it closes.

use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use bergamotswitch_core::contract::TargetContract;
use bergamotswitch_core::host::{EntryHost, Standing};
use bergamotswitch_core::pool::{PoolKind, TargetPool};
use bergamotswitch_core::publication::{FleetLimits, PoolList, Publication};
use bergamotswitch_core::route::{ColdSpec, PoolSpec, RouteConfig, RouteTable};
use bergamotswitch_core::target::PoolTarget;
use bergamotswitch_net::target_client::TargetClientOptions;
use bergamotswitch_net::target_client::connection::{IdleConnections, TargetConnection};
use bergamotswitch_net::target_client::idle_limits::{HostResources, IdleLimits, host_part};
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};

const TIMEOUT: Duration = Duration::from_secs(10);

fn name<T: for<'a> TryFrom<&'a str>>(text: &str) -> T {
    T::try_from(text).ok().expect("a valid name")
}

/// A target that accepts connections and never answers.
struct SilentTarget {
    listener: TcpListener,
    accepted: Vec<TcpStream>,
}

impl SilentTarget {
    async fn start() -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await;
        SilentTarget {
            listener: listener.expect("a port"),
            accepted: Vec::new(),
        }
    }

    fn address(&self) -> SocketAddr {
        self.listener.local_addr().expect("an address")
    }

    /// Keep one more idle connection to this target.
    async fn keep_one(&mut self, idle: &IdleConnections, options: &TargetClientOptions) {
        let dialled = TargetConnection::dial(self.address(), TIMEOUT, options).await;
        let (stream, _) = self.listener.accept().await.expect("a connection");
        self.accepted.push(stream);
        // The connection is idle once its task has run.
        sleep(Duration::from_millis(20)).await;
        idle.keep(dialled.expect("a connection"), options, None);
    }

    /// Get which of the accepted connections are closed, in order.
    async fn closed(&mut self) -> Vec<bool> {
        let mut closed = Vec::new();
        for stream in &mut self.accepted {
            let mut byte = [0];
            let read = timeout(Duration::from_millis(100), stream.read(&mut byte)).await;
            closed.push(read.is_ok_and(|read| read.is_ok_and(|count| count == 0)));
        }
        closed
    }
}

fn options() -> TargetClientOptions {
    TargetClientOptions::default()
        .with_idle_reuse(Duration::from_secs(8))
        .with_max_idle_per_target(16)
}

fn limits(total: usize, parts: &[(SocketAddr, usize)]) -> Option<IdleLimits> {
    Some(IdleLimits {
        total,
        parts: parts.iter().copied().collect::<HashMap<_, _>>(),
    })
}

// Guards against hosts that together keep more than a target accepts.
#[test]
fn part_of_limit() {
    assert_eq!(host_part(670, 91), 7);
    assert!(host_part(670, 91) * 91 <= 670);
    assert_eq!(host_part(10, 380), 1);
    assert_eq!(host_part(540, 0), 540);
}

// Guards against idle connections that leave no descriptors or memory for callers.
#[test]
fn part_of_resources() {
    let most = |descriptors, mb: u64| {
        let memory_bytes = mb << 20;
        let resources = HostResources {
            descriptors,
            memory_bytes,
        };
        resources.max_idle()
    };
    assert_eq!(most(Some(4_100), 160), 320);
    assert_eq!(most(Some(400), 160), 100);
    assert_eq!(most(None, 512), 1_024);
    assert_eq!(most(Some(0), 0), 1);
}

// Guards against a target that refuses connections because hosts keep idle ones, and
// against the newest connection being closed in place of the oldest.
#[tokio::test]
async fn oldest_closed_first() {
    let (mut one, mut other) = (SilentTarget::start().await, SilentTarget::start().await);
    let (idle, options) = (IdleConnections::default(), options());
    idle.set_limits(limits(3, &[(one.address(), 2)]));
    for _ in 0..3 {
        one.keep_one(&idle, &options).await;
    }
    assert_eq!(one.closed().await, [true, false, false]);
    for _ in 0..2 {
        other.keep_one(&idle, &options).await;
    }
    assert_eq!(one.closed().await, [true, true, false], "the oldest of all");
    assert_eq!(other.closed().await, [false, false]);
    let counts = idle.counts();
    assert_eq!((counts.idle, counts.closed), (3, 2));
    idle.set_limits(limits(3, &[(other.address(), 1)]));
    assert_eq!(
        other.closed().await,
        [true, false],
        "a lower limit binds at once"
    );
    assert!(idle.take(one.address(), None, "1").is_some());
    assert_eq!(idle.counts().reused, 1);
}

// Guards against expired connections that stay open at targets that get no more calls.
#[tokio::test]
async fn expired_closed() {
    let (mut one, mut other) = (SilentTarget::start().await, SilentTarget::start().await);
    let idle = IdleConnections::default();
    idle.set_limits(limits(100, &[]));
    let short = options().with_idle_reuse(Duration::from_millis(50));
    one.keep_one(&idle, &short).await;
    sleep(Duration::from_millis(1_100)).await;
    other.keep_one(&idle, &options()).await;
    assert_eq!(one.closed().await, [true]);
    assert_eq!(idle.counts().idle, 1);
}

// Guards against limits that bind where the preference is off.
#[tokio::test]
async fn off_without_option() {
    let mut target = SilentTarget::start().await;
    let (idle, options) = (
        IdleConnections::default(),
        options().with_max_idle_per_target(2),
    );
    for _ in 0..3 {
        target.keep_one(&idle, &options).await;
    }
    assert_eq!(
        target.closed().await,
        [false, false, true],
        "the newest, as before"
    );
    let publication = Publication::default();
    let resources = HostResources::of_process(1 << 28);
    assert!(resources.descriptors.is_none_or(|count| count > 0));
    assert_eq!(IdleLimits::of_publication(&publication, resources), None);
}

// Guards against a connection limit that is published and not applied, or counted for
// hosts that have left.
#[test]
fn published_limit() {
    let address = SocketAddr::from(([10, 0, 0, 1], 80));
    let host = |number: u8, standing| EntryHost {
        name: name(&format!("host-{number}")),
        domain: name("d"),
        caller_address: address,
        link_address: address,
        capacity: 0,
        standing,
    };
    let spec = PoolSpec {
        name: name("llm"),
        connection_limit: 10,
        engine: None,
        cold: ColdSpec::default(),
    };
    let target = PoolTarget {
        name: name("t"),
        domain: name("d"),
        address,
        contract: TargetContract::default(),
        expected_speed: 1_000,
        token_limit: 1_000,
        slots: Some(5),
        started_at_ms: None,
        version: Default::default(),
    };
    let pool = TargetPool {
        name: name("llm"),
        kind: PoolKind::Engine,
        shard_by_domain: false,
        targets: vec![target],
    };
    let mut publication = Publication::with_routes(FleetLimits {
        idle_connection_permille: 100,
        ..FleetLimits::default()
    });
    publication.routes = Arc::new(RouteTable::new(RouteConfig {
        pools: vec![spec],
        ..RouteConfig::default()
    }));
    publication.pools = PoolList::new(vec![pool]);
    publication.hosts.hosts = vec![
        host(0, Standing::Live),
        host(1, Standing::Live),
        host(2, Standing::Leaving),
    ];
    let resources = HostResources::of_process(1 << 28);
    let limits = IdleLimits::of_publication(&publication, resources).expect("the option is on");
    assert_eq!(limits.of_target(address), 5);
}
