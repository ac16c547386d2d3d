//! Ports for the hosts of tests that no other test program draws as well.

use std::fs::{File, TryLockError};
use std::net::SocketAddr;
use std::ops::Range;
use std::sync::{Mutex, PoisonError};

use tokio::net::TcpSocket;

/// Below the ports that the system picks for outgoing connections: a host that is
/// down for a moment would find its port taken by one of these.
const PORTS: Range<u16> = 10_000..32_000;
/// The ports that are claimed together.
const BLOCK_SIZE: u16 = 100;
/// The most blocks of one program; beyond, it goes through its own again, whose
/// first hosts have ended by then.
const MAX_BLOCKS: usize = 40;

/// A `PortBlock` is ports that this program alone draws from until it ends. A host
/// that is down for a moment finds them free when it starts again.
struct PortBlock {
    _lock: File,
    first: u16,
}

/// A `PortPool` is the ports of one program.
pub struct PortPool {
    blocks: Vec<PortBlock>,
    drawn: usize,
}

impl PortPool {
    pub const fn new() -> Self {
        PortPool {
            blocks: Vec::new(),
            drawn: 0,
        }
    }

    /// Get the next port that nobody listens on.
    pub fn draw(&mut self) -> SocketAddr {
        loop {
            let address = SocketAddr::from(([127, 0, 0, 1], self.next_port()));
            if is_free(address) {
                return address;
            }
        }
    }

    fn next_port(&mut self) -> u16 {
        let block = usize::from(BLOCK_SIZE);
        if self.drawn == self.blocks.len() * block {
            match self.blocks.len() < MAX_BLOCKS {
                true => self.blocks.push(reserve_block()),
                false => self.drawn = 0,
            }
        }
        let (index, offset) = (self.drawn / block, self.drawn % block);
        self.drawn += 1;
        self.blocks[index].first + offset as u16
    }
}

/// Claim a block that no other program has.
fn reserve_block() -> PortBlock {
    let mut firsts = PORTS.step_by(usize::from(BLOCK_SIZE));
    let block = firsts.find_map(|first| {
        let path = std::env::temp_dir().join(format!("bergamotswitch-ports-{first}"));
        let lock = File::options()
            .create(true)
            .append(true)
            .open(path)
            .expect("claim of ports");
        match lock.try_lock() {
            Ok(()) => Some(PortBlock { _lock: lock, first }),
            Err(TryLockError::WouldBlock) => None,
            Err(TryLockError::Error(error)) => panic!("claim of ports: {error}"),
        }
    });
    block.expect("ports that no other test program has")
}

/// Get whether nobody listens on an address.
///
/// To listen on it to see that would take it: a process that another test starts
/// at that moment has a copy of the socket until it runs its own program, and the
/// host finds somebody listening. A socket that is bound alone, and may be shared,
/// keeps nobody from listening.
fn is_free(address: SocketAddr) -> bool {
    let socket = TcpSocket::new_v4().expect("socket");
    socket.set_reuseaddr(true).expect("shared socket");
    socket.bind(address).is_ok()
}

/// Get an address that is free now, and that no other test program takes.
pub fn free_address() -> SocketAddr {
    static POOL: Mutex<PortPool> = Mutex::new(PortPool::new());
    let mut pool = POOL.lock().unwrap_or_else(PoisonError::into_inner);
    pool.draw()
}
