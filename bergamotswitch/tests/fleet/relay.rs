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
    ToTarget,
    /// Only from the target to those who connect.
    FromTarget,
    Blocked,
    /// Both ways, each piece of bytes after [`SLOW_WAY`].
    Slow,
    /// Every connection is closed, new ones too.
    Reset,
}

impl Flow {
    fn passes_forth(self) -> bool {
        matches!(self, Flow::Both | Flow::ToTarget | Flow::Slow | Flow::Reset)
    }

    fn passes_back(self) -> bool {
        matches!(
            self,
            Flow::Both | Flow::FromTarget | Flow::Slow | Flow::Reset
        )
    }
}

/// How long a slow relay holds each piece of bytes.
const SLOW_WAY: Duration = Duration::from_millis(150);

/// A relay before one address. It lives as long as the test's runtime.
pub struct Relay {
    flow: watch::Sender<Flow>,
    /// How often the open connections were silenced.
    silences: watch::Sender<u32>,
}

/// What a connection through a relay goes by.
#[derive(Clone)]
struct Way {
    flow: watch::Receiver<Flow>,
    silences: watch::Receiver<u32>,
    /// The silences before it was opened.
    opened_after: u32,
}

impl Way {
    fn is_silenced(&self) -> bool {
        *self.silences.borrow() != self.opened_after
    }
}

impl Relay {
    pub fn start(listen: SocketAddr, target: SocketAddr) -> Self {
        let listener = std::net::TcpListener::bind(listen).expect("free port");
        Relay::serve(listener, target)
    }

    /// Start a relay on a port that the system picks; get its address too. A
    /// port that was looked up first may be taken by another test meanwhile.
    pub fn start_on_free_port(target: SocketAddr) -> (Self, SocketAddr) {
        let listener = std::net::TcpListener::bind(("127.0.0.1", 0)).expect("free port");
        let address = listener.local_addr().expect("address");
        (Relay::serve(listener, target), address)
    }

    fn serve(listener: std::net::TcpListener, target: SocketAddr) -> Self {
        let (flow, seen) = watch::channel(Flow::Both);
        let (silences, silenced) = watch::channel(0);
        listener.set_nonblocking(true).expect("listener");
        let listener = TcpListener::from_std(listener).expect("listener");
        tokio::spawn(async move {
            while let Ok((near, _)) = listener.accept().await {
                let opened_after = *silenced.borrow();
                let way = Way {
                    flow: seen.clone(),
                    silences: silenced.clone(),
                    opened_after,
                };
                tokio::spawn(relay(near, target, way));
            }
        });
        Relay { flow, silences }
    }

    pub fn set(&self, flow: Flow) {
        self.flow.send_replace(flow);
    }

    /// Let the open connections go silent for good; new ones work.
    pub fn silence_open(&self) {
        self.silences.send_modify(|count| *count += 1);
    }
}

async fn relay(near: TcpStream, target: SocketAddr, mut way: Way) {
    // A connect through a cut does not get anywhere until the cut heals.
    let open = way
        .flow
        .wait_for(|flow| *flow != Flow::Blocked)
        .await
        .is_ok();
    let (true, Ok(far)) = (open, TcpStream::connect(target).await) else {
        return;
    };
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    let mut reset = way.flow.clone();
    let back = copy(far_read, near_write, way.clone(), Flow::passes_back);
    let forth = copy(near_read, far_write, way, Flow::passes_forth);
    tokio::select! {
        () = back => {}
        () = forth => {}
        _ = reset.wait_for(|flow| *flow == Flow::Reset) => {}
    }
}

async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut way: Way,
    passes: fn(Flow) -> bool,
) {
    let mut bytes = vec![0; 16_384];
    loop {
        let read = from.read(&mut bytes).await;
        // The end of a connection does not pass a cut either.
        if way.flow.wait_for(|flow| passes(*flow)).await.is_err() {
            return;
        }
        if way.is_silenced() {
            std::future::pending::<()>().await;
        }
        if *way.flow.borrow() == Flow::Slow {
            tokio::time::sleep(SLOW_WAY).await;
        }
        match read {
            Ok(0) | Err(_) => return,
            Ok(count) if to.write_all(&bytes[..count]).await.is_err() => return,
            Ok(_) => {}
        }
    }
}
