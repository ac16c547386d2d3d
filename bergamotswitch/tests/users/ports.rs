//! Provides ports for the hosts of tests that no other test program uses.

use std::fs::{File, TryLockError};
use std::net::SocketAddr;
use std::ops::Range;
use std::sync::{Mutex, PoisonError};

use tokio::net::TcpSocket;

/// Below the ephemeral ports: an outgoing connection could otherwise take the port of
/// a host that is restarting.
const PORTS: Range<u16> = 10_000..32_000;
/// The number of ports that are claimed together.
const BLOCK_SIZE: u16 = 100;
/// The maximum number of blocks of one program. After that it reuses its own ports
/// from the first one on, whose hosts have ended by then.
const MAX_BLOCKS: usize = 40;

/// A `PortBlock` is a range of ports that is reserved for this program by a file lock
/// until it ends, so that a restarting host finds its ports free.
struct PortBlock {
    _lock: File,
    first: u16,
}

/// A `PortPool` is the ports that one program uses.
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

    /// Get the next address that is not in use.
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

/// Reserve a block that no other program has reserved.
fn reserve_block() -> PortBlock {
    let mut firsts = PORTS.step_by(usize::from(BLOCK_SIZE));
    let block = firsts.find_map(|first| {
        let path = std::env::temp_dir().join(format!("bergamotswitch-ports-{first}"));
        let lock = File::options()
            .create(true)
            .append(true)
            .open(path)
            .expect("port lock file");
        match lock.try_lock() {
            Ok(()) => Some(PortBlock { _lock: lock, first }),
            Err(TryLockError::WouldBlock) => None,
            Err(TryLockError::Error(error)) => panic!("port lock file: {error}"),
        }
    });
    block.expect("ports that no other test program has reserved")
}

/// Get whether no socket listens on an address.
///
/// The check binds a shared socket but does not listen: a child process that another
/// test forks index that moment inherits the socket until it calls exec, and an inherited
/// listening socket would keep the port taken.
fn is_free(address: SocketAddr) -> bool {
    let socket = TcpSocket::new_v4().expect("socket");
    socket.set_reuseaddr(true).expect("shared socket");
    socket.bind(address).is_ok()
}

/// Get an address that is free and that no other test program uses.
pub fn free_address() -> SocketAddr {
    static POOL: Mutex<PortPool> = Mutex::new(PortPool::new());
    let mut pool = POOL.lock().unwrap_or_else(PoisonError::into_inner);
    pool.draw()
}
