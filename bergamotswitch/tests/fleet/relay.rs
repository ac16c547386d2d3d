//! Provides a TCP relay with injected faults: connections stay open but pass no
//! bytes, are delayed, or are closed.

// Each test file uses only a part of this module.
#![allow(dead_code)]

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// A `Flow` is the direction in which a relay passes bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Flow {
    Both,
    /// Only from the client to the target.
    ToTarget,
    /// Only from the target to the client.
    FromTarget,
    Blocked,
    /// In both directions, each read delayed by [`SLOW_DELAY`].
    Slow,
    /// Every connection is closed, new ones as well.
    Reset,
}

impl Flow {
    fn passes_to_target(self) -> bool {
        matches!(self, Flow::Both | Flow::ToTarget | Flow::Slow | Flow::Reset)
    }

    fn passes_from_target(self) -> bool {
        matches!(
            self,
            Flow::Both | Flow::FromTarget | Flow::Slow | Flow::Reset
        )
    }
}

/// The delay of each read in a slow relay.
const SLOW_DELAY: Duration = Duration::from_millis(150);

/// A `Relay` forwards connections to one address. It runs as long as the test's
/// runtime.
pub struct Relay {
    flow: watch::Sender<Flow>,
    /// How often the open connections were stalled.
    stalls: watch::Sender<u32>,
}

/// A `ConnectionState` is the fault state that a relayed connection observes.
#[derive(Clone)]
struct ConnectionState {
    flow: watch::Receiver<Flow>,
    stalls: watch::Receiver<u32>,
    /// The number of stalls before the connection was opened.
    stalls_at_open: u32,
}

impl ConnectionState {
    fn is_stalled(&self) -> bool {
        *self.stalls.borrow() != self.stalls_at_open
    }
}

impl Relay {
    pub fn start(listen: SocketAddr, target: SocketAddr) -> Self {
        let listener = std::net::TcpListener::bind(listen).expect("free port");
        Relay::serve(listener, target)
    }

    /// Start a relay on a port that the system picks, and get its address. Looking up
    /// a free port first could lose it to another test.
    pub fn start_on_free_port(target: SocketAddr) -> (Self, SocketAddr) {
        let listener = std::net::TcpListener::bind(("127.0.0.1", 0)).expect("free port");
        let address = listener.local_addr().expect("address");
        (Relay::serve(listener, target), address)
    }

    fn serve(listener: std::net::TcpListener, target: SocketAddr) -> Self {
        let (flow, flow_seen) = watch::channel(Flow::Both);
        let (stalls, stalls_seen) = watch::channel(0);
        listener.set_nonblocking(true).expect("listener");
        let listener = TcpListener::from_std(listener).expect("listener");
        tokio::spawn(async move {
            while let Ok((client, _)) = listener.accept().await {
                let stalls_at_open = *stalls_seen.borrow();
                let state = ConnectionState {
                    flow: flow_seen.clone(),
                    stalls: stalls_seen.clone(),
                    stalls_at_open,
                };
                tokio::spawn(relay(client, target, state));
            }
        });
        Relay { flow, stalls }
    }

    pub fn set(&self, flow: Flow) {
        self.flow.send_replace(flow);
    }

    /// Stall the open connections permanently; new connections work.
    pub fn stall_open_connections(&self) {
        self.stalls.send_modify(|count| *count += 1);
    }
}

async fn relay(client: TcpStream, target: SocketAddr, mut state: ConnectionState) {
    // A connection through a blocked relay proceeds only once the relay is unblocked.
    let open = state
        .flow
        .wait_for(|flow| *flow != Flow::Blocked)
        .await
        .is_ok();
    let (true, Ok(server)) = (open, TcpStream::connect(target).await) else {
        return;
    };
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    let mut reset = state.flow.clone();
    let from_target = copy(
        server_read,
        client_write,
        state.clone(),
        Flow::passes_from_target,
    );
    let to_target = copy(client_read, server_write, state, Flow::passes_to_target);
    tokio::select! {
        () = from_target => {}
        () = to_target => {}
        _ = reset.wait_for(|flow| *flow == Flow::Reset) => {}
    }
}

async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut state: ConnectionState,
    passes: fn(Flow) -> bool,
) {
    let mut bytes = vec![0; 16_384];
    loop {
        let read = from.read(&mut bytes).await;
        // A blocked relay does not pass the end of a connection either.
        if state.flow.wait_for(|flow| passes(*flow)).await.is_err() {
            return;
        }
        if state.is_stalled() {
            std::future::pending::<()>().await;
        }
        if *state.flow.borrow() == Flow::Slow {
            tokio::time::sleep(SLOW_DELAY).await;
        }
        match read {
            Ok(0) => return,
            Err(_) => {
                // Pass a reset on as a reset. Dropping the half would end the stream first.
                let _ = to.as_ref().set_zero_linger();
                return to.forget();
            }
            Ok(count) if to.write_all(&bytes[..count]).await.is_err() => return,
            Ok(_) => {}
        }
    }
}
