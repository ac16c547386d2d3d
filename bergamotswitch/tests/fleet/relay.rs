//! A TCP relay that a test may cut: connections stay open and go silent, as
//! when something between two ends has lost track of them; or they are reset,
//! or slow.

// Each test file uses its own part of this module.
#![allow(dead_code)]

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Which way bytes go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Flow {
    Both,
    /// Only from those who connect to the target.
    Forth,
    /// Only from the target to those who connect.
    Back,
    Cut,
    /// Both ways, each piece of bytes after [`SLOW_WAY`].
    Slow,
    /// Every connection is closed, new ones too.
    Reset,
}

impl Flow {
    fn passes_forth(self) -> bool {
        matches!(self, Flow::Both | Flow::Forth | Flow::Slow | Flow::Reset)
    }

    fn passes_back(self) -> bool {
        matches!(self, Flow::Both | Flow::Back | Flow::Slow | Flow::Reset)
    }
}

/// How long a slow relay holds each piece of bytes.
const SLOW_WAY: Duration = Duration::from_millis(150);

/// A relay before one address. It lives as long as the test's runtime.
pub struct Relay(watch::Sender<Flow>);

impl Relay {
    pub fn start(listen: SocketAddr, target: SocketAddr) -> Self {
        let listener = std::net::TcpListener::bind(listen).expect("free port");
        Relay::serve(listener, target)
    }

    /// Start a relay on a port that the system picks; get its address too. A
    /// port that was looked up first may be taken by another test meanwhile.
    pub fn start_anywhere(target: SocketAddr) -> (Self, SocketAddr) {
        let listener = std::net::TcpListener::bind(("127.0.0.1", 0)).expect("free port");
        let address = listener.local_addr().expect("address");
        (Relay::serve(listener, target), address)
    }

    fn serve(listener: std::net::TcpListener, target: SocketAddr) -> Self {
        let (flow, seen) = watch::channel(Flow::Both);
        listener.set_nonblocking(true).expect("listener");
        let listener = TcpListener::from_std(listener).expect("listener");
        tokio::spawn(async move {
            while let Ok((near, _)) = listener.accept().await {
                tokio::spawn(relay(near, target, seen.clone()));
            }
        });
        Relay(flow)
    }

    pub fn set(&self, flow: Flow) {
        self.0.send_replace(flow);
    }
}

async fn relay(near: TcpStream, target: SocketAddr, mut flow: watch::Receiver<Flow>) {
    // A connect through a cut does not get anywhere until the cut heals.
    let open = flow.wait_for(|flow| *flow != Flow::Cut).await.is_ok();
    let (true, Ok(far)) = (open, TcpStream::connect(target).await) else {
        return;
    };
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    let mut reset = flow.clone();
    let back = copy(far_read, near_write, flow.clone(), Flow::passes_back);
    let forth = copy(near_read, far_write, flow, Flow::passes_forth);
    tokio::select! {
        () = back => {}
        () = forth => {}
        _ = reset.wait_for(|flow| *flow == Flow::Reset) => {}
    }
}

async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut flow: watch::Receiver<Flow>,
    passes: fn(Flow) -> bool,
) {
    let mut bytes = vec![0; 16_384];
    loop {
        let read = from.read(&mut bytes).await;
        // The end of a connection does not pass a cut either.
        if flow.wait_for(|flow| passes(*flow)).await.is_err() {
            return;
        }
        if *flow.borrow() == Flow::Slow {
            tokio::time::sleep(SLOW_WAY).await;
        }
        match read {
            Ok(0) | Err(_) => return,
            Ok(count) if to.write_all(&bytes[..count]).await.is_err() => return,
            Ok(_) => {}
        }
    }
}
